/** Sends to an instance that names a limit, as the log says. */
export enum LimitedSend {
  /** Any request. */
  Sent = 'sent',
  /** A request among them that was sent to another instance before. */
  Repeated = 'repeated',
}
