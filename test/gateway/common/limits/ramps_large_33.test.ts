/** A cold instance with a ramp of 33 requests a second that 330 gateways share. */
import * as ava from 'ava';
import * as coldFleet from '../../../support/cold_fleet';

coldFleet.testFleet(ava.default, 330, 33);
