/** Permits of one gateway while its coordinator answers, denies, falls silent or changes. */
import * as ava from 'ava';
import * as directMembers from '../../../../src/gateway/common/fleet/direct_members';
import * as memberTable from '../../../../src/gateway/common/fleet/member_table';
import * as peerDigest from '../../../../src/gateway/common/fleet/peer_digest';
import * as coordinatorElection from '../../../../src/gateway/common/limits/coordinator_election';
import * as instanceLimits from '../../../../src/gateway/common/limits/instance_limits';
import * as instanceRates from '../../../../src/gateway/common/limits/instance_rates';
import * as instancePermits from '../../../../src/gateway/common/limits/instance_permits';
import * as warmUps from '../../../../src/gateway/common/limits/warm_ups';
import * as permitIssuer from '../../../../src/gateway/common/limits/permit_issuer';
import * as instanceTable from '../../../../src/gateway/common/instance_table';
import * as gatewayRecords from '../../../support/gateway_records';

const test = ava.default;
const OWN_IP = '10.0.0.1';
const PEER_IP = '10.0.0.2';
/** Time at which the tests begin, in milliseconds; the gateway started long before. */
const START = 100_000;
const LIMIT = 2;
const RAMP = 5;
/** Time for a lost member to be considered gone, in milliseconds. */
const GONE_MILLISECONDS = 10_000;

const PEER_DIGEST: peerDigest.PeerDigest = {
  name: 'gateway-2',
  stateAddress: '',
  configurationVersion: 1,
  instancesPosition: 1,
  isSourceAway: false,
  loads: {},
  crashes: [],
  peers: [],
  messageVersion: peerDigest.MESSAGE_VERSION,
};

/** One gateway with one peer, and an instance that the peer coordinates. */
class TwoGateways {
  readonly members = new memberTable.MemberTable(
    {ip: OWN_IP, name: 'gateway-1', isWide: false},
    [],
  );
  readonly limits = new instanceLimits.InstanceLimits();
  readonly cold = new warmUps.WarmUps();
  readonly requests: instancePermits.PermitRequest[] = [];
  readonly permits: instancePermits.InstancePermits;
  readonly instance: instanceTable.Instance;
  private readonly election: coordinatorElection.CoordinatorElection;

  constructor(startedAt = 0) {
    this.election = new coordinatorElection.CoordinatorElection(
      this.members,
      new directMembers.DirectMembers(this.members, startedAt),
    );
    this.permits = new instancePermits.InstancePermits(
      new instanceRates.InstanceRates(this.limits, this.cold, () => RAMP),
      this.election,
      new permitIssuer.PermitIssuer(),
      (_, request) => this.requests.push(request),
      OWN_IP,
    );
    this.hearPeer(START);
    this.instance = this.findInstance(PEER_IP);
    this.limits.recordAnswer(
      this.life,
      {
        limit: {requestsPerSecond: LIMIT, text: String(LIMIT)},
        isSuccess: true,
        sentAt: START,
      },
      START,
    );
  }

  get life(): string {
    return instanceTable.lifeOf(this.instance.record);
  }

  hearPeer(now: number): void {
    this.members.addDigest(PEER_IP, PEER_DIGEST, 0, now);
  }

  /** Answers the latest request. */
  answer(
    granted: number,
    retryMilliseconds: number,
    now: number,
    isCold?: boolean,
  ): void {
    const {sequence} = this.requests[this.requests.length - 1];
    this.permits.receiveGrant(
      {sequence, life: this.life, granted, retryMilliseconds, isCold},
      now,
    );
  }

  /** Chooses the instance if there is a permit. */
  select(
    now: number,
  ): instancePermits.Selection<instancePermits.InstanceChoice> {
    const {instance} = this;
    return this.permits.select(
      new Set(),
      barred => (barred.has(instance.record.id) ? undefined : {instance}),
      now,
    );
  }

  /** An instance that the gateway coordinates. */
  private findInstance(ip: string): instanceTable.Instance {
    const table = new instanceTable.InstanceTable();
    const records = Array.from({length: 64}, (_, index) =>
      gatewayRecords.instanceRecord({id: `i-${index}`}),
    );
    table.replace(records, START);
    return [...table.all()].find(
      ({record}) =>
        this.election.coordinatorOf(instanceTable.lifeOf(record), START).ip ===
        ip,
    )!;
  }
}

test('instance permits: a permit that the coordinator granted is used once, and not after its time', t => {
  const gateways = new TwoGateways();
  t.true(gateways.select(START).shortage?.isPending);
  gateways.answer(1, 0, START + 5);
  t.truthy(gateways.select(START + 10).choice);
  t.true(gateways.select(START + 10).shortage?.isPending);
  gateways.answer(1, 0, START + 15);
  t.is(gateways.select(START + 1_000).choice, undefined);
});

test('instance permits: a denied gateway asks again when it was told to, and says so to its callers', t => {
  const gateways = new TwoGateways();
  gateways.select(START);
  gateways.answer(0, 400, START + 5);
  const {shortage} = gateways.select(START + 10);
  t.deepEqual(shortage, {isPending: false, retryAt: START + 405});
  t.is(gateways.requests.length, 1);
  t.true(gateways.select(START + 405).shortage?.isPending);
  t.is(gateways.requests.length, 2);
});

test('instance permits: a gateway that becomes the coordinator is not held back by what the former one told it', t => {
  const gateways = new TwoGateways();
  gateways.select(START);
  gateways.answer(0, 15_000, START + 5);
  gateways.members.suspect(PEER_IP, START + 10);
  gateways.members.expire(START + GONE_MILLISECONDS);
  // Another gateway is still heard of, so that this one is not cut off.
  gateways.members.addDigest(
    '10.0.0.3',
    {...PEER_DIGEST, messageVersion: 0},
    0,
    START + GONE_MILLISECONDS,
  );
  t.is(gateways.select(START + GONE_MILLISECONDS).choice, undefined);
  t.truthy(gateways.select(START + GONE_MILLISECONDS + 1_000).choice);
});

test('instance permits: without a coordinator callers are told when the own share has the next permit', t => {
  const gateways = new TwoGateways();
  const silentAt = START + GONE_MILLISECONDS;
  gateways.members.suspect(PEER_IP, START);
  gateways.members.expire(silentAt);
  const {shortage} = gateways.select(silentAt);
  // Two gateways share nine tenths of two requests a second.
  t.is(Math.round(shortage!.retryAt - silentAt), Math.round(1_000 / 0.9));
  t.truthy(gateways.select(shortage!.retryAt + 1).choice);
});

// An older build grants by the limit alone, which is more than the ramp allows.
test('instance permits: what a coordinator grants that knows nothing of ramps is not used at a cold instance', t => {
  const gateways = new TwoGateways();
  gateways.cold.recordRegistration(gateways.life, 60_000, 1, START);
  gateways.select(START);
  t.deepEqual(gateways.requests[0].ramp, [RAMP, 60_000, 0, 1, 0]);
  gateways.answer(9, 0, START + 5);
  t.is(gateways.select(START + 10).choice, undefined);
  gateways.answer(1, 0, START + 15, true);
  t.truthy(gateways.select(START + 20).choice);
});

// Permits that were granted for a warm instance would be used up at once.
test('instance permits: permits end when the instance becomes cold, and are valid for a shorter time while it is', t => {
  const gateways = new TwoGateways();
  gateways.select(START);
  gateways.answer(9, 0, START + 5);
  gateways.cold.recordAnswer(gateways.life, 60_000, START + 10);
  t.is(gateways.select(START + 10).choice, undefined);
  gateways.answer(9, 0, START + 15, true);
  t.truthy(gateways.select(START + 200).choice);
  t.is(gateways.select(START + 215).choice, undefined);
});

test('instance permits: a coordinator that has seen the instance become warm says so', t => {
  const gateways = new TwoGateways();
  gateways.cold.recordRegistration(gateways.life, 60_000, 1, START);
  gateways.select(START);
  const {sequence} = gateways.requests[0];
  gateways.permits.receiveGrant(
    {
      sequence,
      life: gateways.life,
      granted: 0,
      retryMilliseconds: 0,
      isCold: false,
      warmUp: [0, 10, 1, 1],
    },
    START + 5,
  );
  t.false(gateways.cold.isCold(gateways.life, START + 5));
});
