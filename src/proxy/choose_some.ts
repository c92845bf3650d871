/** Random items without repetition, each item equally likely. */
export function chooseSome<Item>(
  items: readonly Item[],
  count: number,
  random: () => number,
): Item[] {
  const remaining = [...items];
  const chosen: Item[] = [];
  while (remaining.length > 0 && chosen.length < count) {
    const index = Math.floor(random() * remaining.length);
    chosen.push(...remaining.splice(index, 1));
  }
  return chosen;
}
