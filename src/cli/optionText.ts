/**
 * Finds the raw text of an option's value. The command-line parser converts numeric-looking values
 * to numbers, which would change an id such as `00000000000001e5`.
 */
export function findOptionText(rawArgs: readonly string[], name: string): string | undefined {
  const option = `--${name}`;
  for (const [index, argument] of rawArgs.entries()) {
    if (argument.startsWith(`${option}=`)) return argument.slice(option.length + 1);
    if (argument === option) return rawArgs[index + 1];
  }
  return undefined;
}
