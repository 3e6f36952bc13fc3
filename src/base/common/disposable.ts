/** An object that holds resources until it is disposed. */
export interface Disposable {
  dispose(): void;
}
