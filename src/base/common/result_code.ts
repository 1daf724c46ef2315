/**
 * Numeric result codes of calls and programs. docs/RESULT-CODES.md has the same
 * table; a test checks that both are equal.
 */

/** Result of a call, or exit code of a program. Numbers are never reused. */
export enum ResultCode {
  Ok = 0,
  Failed = 1,
  Usage = 2,
  SettingsInvalid = 3,
  SettingsUnreadable = 4,
  AddressInUse = 5,
  NothingChanged = 6,

  MalformedRequest = 40,
  InvalidField = 41,
  Unauthenticated = 42,
  UnknownModel = 43,
  UnknownRoute = 44,
  BodyTooLarge = 45,
  HeadersTooLarge = 46,
  RequestTimeout = 47,
  UnknownPath = 48,
  InvalidIdempotencyKey = 49,
  IdempotencyKeyTooOld = 50,
  IdempotencyKeyReused = 51,
  InvalidEventId = 52,

  CustomerLimit = 60,
  Overloaded = 61,
  NoEndpoint = 62,
  EndpointLeaving = 63,
  StoreUnavailable = 64,
  NotReady = 65,
  ModelWoundDown = 66,
  RouteWoundDown = 67,
  DeploymentWoundDown = 68,
  PoisonRequest = 69,
  RetryBudgetSpent = 70,
  AttemptTombstoned = 71,
  WrongIncarnation = 72,
  ContextTooLong = 73,

  Interrupted = 80,
  OutcomeUnknown = 81,
  Cancelled = 82,
  EndpointError = 83,
  EndpointLost = 84,
  StreamExpired = 85,
  Conflict = 90,
  UnknownObject = 91,
  InvalidDeclaration = 92,
  ChangeOutcomeUnknown = 93,
  StaleFencingNumber = 94,
  LeaseHeldElsewhere = 95,
  WeightBudgetSpent = 96,
  Internal = 99,
}

/** Whether the work of a request ran at an endpoint. */
export enum WorkState {
  NotRun = 'not-run',
  Ran = 'ran',
  Unknown = 'unknown',
}

/** Meaning of a result code, and what the caller can do. */
export interface ResultDescription {
  readonly httpStatus: number;
  readonly meaning: string;
  readonly remedy: string;
}

const DESCRIPTIONS: Readonly<Record<ResultCode, ResultDescription>> = {
  [ResultCode.Ok]: describe(200, 'The call succeeded.', 'None.'),
  [ResultCode.Failed]: describe(
    500,
    'A program failed for a reason given in its message.',
    'Read the message.',
  ),
  [ResultCode.Usage]: describe(
    400,
    'A program was started with wrong arguments.',
    'See --help.',
  ),
  [ResultCode.SettingsInvalid]: describe(
    500,
    'A setting has a wrong key, type or value.',
    'Correct the named key.',
  ),
  [ResultCode.SettingsUnreadable]: describe(
    500,
    'A settings file or a file that it names cannot be read.',
    'Check path and permissions.',
  ),
  [ResultCode.AddressInUse]: describe(
    500,
    'The listening address cannot be bound.',
    'Choose another address or port.',
  ),
  [ResultCode.NothingChanged]: describe(
    200,
    'The declarations are in force already.',
    'None.',
  ),
  [ResultCode.MalformedRequest]: describe(
    400,
    'The request is not valid HTTP or JSON.',
    'Correct the request.',
  ),
  [ResultCode.InvalidField]: describe(
    400,
    'A field has a wrong type or value.',
    'Correct the named field.',
  ),
  [ResultCode.Unauthenticated]: describe(
    401,
    'The bearer token is missing or unknown.',
    'Send a valid token.',
  ),
  [ResultCode.UnknownModel]: describe(
    404,
    'No route ties this customer to the model.',
    'Check the model name and the routes.',
  ),
  [ResultCode.UnknownRoute]: describe(
    404,
    'No route of this name serves this customer.',
    'Check the route name.',
  ),
  [ResultCode.BodyTooLarge]: describe(
    413,
    'The body is over the limit.',
    'Send a smaller body.',
  ),
  [ResultCode.HeadersTooLarge]: describe(
    431,
    'The headers are over the limit.',
    'Send smaller headers.',
  ),
  [ResultCode.RequestTimeout]: describe(
    408,
    'The request did not arrive whole in time.',
    'Send it again.',
  ),
  [ResultCode.UnknownPath]: describe(
    404,
    'No resource has this path and method.',
    'Check path and method.',
  ),
  [ResultCode.InvalidIdempotencyKey]: describe(
    400,
    'The idempotency key is not a UUID of version 7.',
    'Make a UUIDv7 for each action.',
  ),
  [ResultCode.IdempotencyKeyTooOld]: describe(
    409,
    'The time in the idempotency key is outside the accepted window.',
    'Find out whether the action ran, then use a new key.',
  ),
  [ResultCode.IdempotencyKeyReused]: describe(
    422,
    'The idempotency key belongs to an action with another body.',
    'Use one key for one action.',
  ),
  [ResultCode.InvalidEventId]: describe(
    400,
    'Last-Event-ID names no stream of this deployment.',
    'Send the id of an event that was received.',
  ),
  [ResultCode.CustomerLimit]: describe(
    429,
    'The customer has too many tokens outstanding.',
    'Come back after Retry-After.',
  ),
  [ResultCode.Overloaded]: describe(
    503,
    'The endpoints have no room for this class of work.',
    'Come back after Retry-After.',
  ),
  [ResultCode.NoEndpoint]: describe(
    503,
    'No live endpoint instance serves the route.',
    'Come back after Retry-After.',
  ),
  [ResultCode.EndpointLeaving]: describe(
    503,
    'The endpoint instance is leaving and takes no new work.',
    'Come back after Retry-After.',
  ),
  [ResultCode.StoreUnavailable]: describe(
    503,
    'The object API does not answer, so no claim can be made.',
    'Come back after Retry-After with the same key.',
  ),
  [ResultCode.NotReady]: describe(
    503,
    'The instance has no configuration yet or is stopping.',
    'Use another entry instance.',
  ),
  [ResultCode.ModelWoundDown]: describe(
    410,
    'The model takes no new work since its wind-down date.',
    'None.',
  ),
  [ResultCode.RouteWoundDown]: describe(
    410,
    'The route takes no new work since its wind-down date.',
    'None.',
  ),
  [ResultCode.DeploymentWoundDown]: describe(
    410,
    'The deployment takes no new work since its wind-down date.',
    'None.',
  ),
  [ResultCode.PoisonRequest]: describe(
    422,
    'The request ended every endpoint instance that ran it.',
    'Do not send it again.',
  ),
  [ResultCode.RetryBudgetSpent]: describe(
    503,
    'The share of retries allowed to the customer is used up.',
    'Come back after Retry-After.',
  ),
  [ResultCode.AttemptTombstoned]: describe(
    409,
    'The attempt was withdrawn before it started.',
    'None.',
  ),
  [ResultCode.WrongIncarnation]: describe(
    409,
    'The side process was replaced since the attempt was addressed.',
    'None.',
  ),
  [ResultCode.ContextTooLong]: describe(
    400,
    'Prompt and output exceed the context of the model.',
    'Shorten the prompt or max_tokens.',
  ),
  [ResultCode.Interrupted]: describe(
    502,
    'The generation was lost after some of its tokens were delivered.',
    'Send a new request if the rest is wanted.',
  ),
  [ResultCode.OutcomeUnknown]: describe(
    502,
    'The action may or may not have run.',
    'Ask the service; the same key never runs it again.',
  ),
  [ResultCode.Cancelled]: describe(
    499,
    'The caller or an operator cancelled the work.',
    'None.',
  ),
  [ResultCode.EndpointError]: describe(
    502,
    'The endpoint answered with an error.',
    'Read the message.',
  ),
  [ResultCode.EndpointLost]: describe(
    502,
    'The endpoint instance was lost while it ran the work.',
    'Come back after Retry-After.',
  ),
  [ResultCode.StreamExpired]: describe(
    410,
    'The generation is no longer held for reattachment.',
    'Send a new request.',
  ),
  [ResultCode.Conflict]: describe(
    409,
    'The object has another version than expected.',
    'Read it again and decide anew.',
  ),
  [ResultCode.UnknownObject]: describe(
    404,
    'No object has this kind and name.',
    'Check kind and name.',
  ),
  [ResultCode.InvalidDeclaration]: describe(
    400,
    'A declaration has a wrong key, type or reference.',
    'Correct the named key.',
  ),
  [ResultCode.ChangeOutcomeUnknown]: describe(
    503,
    'The change may or may not have been accepted.',
    'Repeat the call with the same change identifier.',
  ),
  [ResultCode.StaleFencingNumber]: describe(
    409,
    'The order carries a lower fencing number than one obeyed before.',
    'Take the lease anew.',
  ),
  [ResultCode.LeaseHeldElsewhere]: describe(
    409,
    'Another instance holds the lease.',
    'Wait for it to lapse.',
  ),
  [ResultCode.WeightBudgetSpent]: describe(
    503,
    'The budget of weight store reads is used up.',
    'Come back after Retry-After.',
  ),
  [ResultCode.Internal]: describe(
    500,
    'An unexpected fault in rhubarbvane.',
    'Report it with the trace identifier.',
  ),
};

function describe(
  httpStatus: number,
  meaning: string,
  remedy: string,
): ResultDescription {
  return {httpStatus, meaning, remedy};
}

/** Returns the description of a code. */
export function describeResult(code: ResultCode): ResultDescription {
  return DESCRIPTIONS[code];
}

/** Lists every result code in ascending order. */
export function allResultCodes(): ResultCode[] {
  return Object.values(ResultCode)
    .filter((value): value is ResultCode => typeof value === 'number')
    .sort((left, right) => left - right);
}
