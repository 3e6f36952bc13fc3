/**
 * The value of an option as it was typed, or undefined. The parser of the command line turns what
 * looks like a number into one, and an id such as `00000000000001e5` would become another.
 */
export function findOptionText(rawArgs: readonly string[], name: string): string | undefined {
  const option = `--${name}`;
  for (const [index, argument] of rawArgs.entries()) {
    if (argument.startsWith(`${option}=`)) return argument.slice(option.length + 1);
    if (argument === option) return rawArgs[index + 1];
  }
  return undefined;
}
