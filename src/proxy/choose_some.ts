/** A few of the items, each as likely as any other. */
export function chooseSome<Item>(
  items: readonly Item[],
  count: number,
  random: () => number,
): Item[] {
  const left = [...items];
  const chosen: Item[] = [];
  while (left.length > 0 && chosen.length < count) {
    const index = Math.floor(random() * left.length);
    chosen.push(...left.splice(index, 1));
  }
  return chosen;
}
