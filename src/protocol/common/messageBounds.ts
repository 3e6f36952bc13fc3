/** Largest message between processes: a request or response body of 8 MB and its headers. */
export const MAX_MESSAGE_BYTES = 9 * 1024 * 1024;
