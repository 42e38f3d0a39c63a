/**
 * Measurements of the fleet file and of what is kept and done for its endpoints and accounts.
 */
#pragma once

#include "almondridge/fleet/fleet.h"

namespace almondridge::bench {

constexpr int Domains = 9;
constexpr int Models = 24;

/** How large a fleet is measured. */
struct FleetSize
{
    int endpoints_ = 0;
    int accounts_ = 0;
};

fleet::Endpoint endpointOf(int index);
fleet::Fleet fleetOf(const FleetSize &size);

/** Bytes of the file. */
double fleetTextBytes(const FleetSize &size);
/** Heap bytes of the parsed file. */
double fleetHeap(const FleetSize &size);
/** Processor time to parse and check the file. */
double parseMicroseconds(const FleetSize &size);
/** Heap bytes of a router that has heard of every endpoint of its domain. */
double routerHeap(const FleetSize &size);
/** Processor time of a router that is given a new fleet. */
double setFleetMicroseconds(const FleetSize &size);
/** Processor time of one load report at the router. */
double reportMicroseconds(const FleetSize &size);
/** Processor time of choice, dispatch, first token and end of one request. */
double choiceMicroseconds(const FleetSize &size);
/** Heap bytes of admission after one request of each account. */
double admissionHeap(const FleetSize &size);
/** Processor time of one offer and its end. */
double offerMicroseconds(const FleetSize &size);
/** Bytes of the instance list with so many engines and an entry instance to each 16. */
double instanceListBytes(const FleetSize &size);
/** Processor time to parse that list. */
double instanceListMicroseconds(const FleetSize &size);

} // namespace almondridge::bench
