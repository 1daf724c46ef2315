/** What happened to a repeated send, as its metric says. */
export enum RepeatEvent {
  /** The budget allowed it. */
  Charged = 'charged',
  /** The budget did not allow it. */
  Denied = 'denied',
  /** The request was sent to another instance. */
  Sent = 'sent',
  /** A run was sent to the instance that keeps its copy. */
  Continued = 'continued',
  /** An instance did not go on with a run from its copy. */
  ContinuationRejected = 'continuation-rejected',
}
