/**
 * Measurements of the control log's records, their fold, and the time line.
 */
#pragma once

#include "slopefleet.h"

namespace almondridge::bench {

/** Heap bytes of a fold with count keys and their outcomes. */
double keyHeap(int count);
/** Bytes of the snapshot of the same. */
double keySnapshotBytes(int count);
/** Processor time to encode and fold one key claim of count. */
double claimMicroseconds(int count);
/** The same of one key outcome. */
double outcomeMicroseconds(int count);
/** The same of one lease renewal. */
double renewalMicroseconds(int count);
/** The same of an intent and its outcome, over count engines. */
double orderMicroseconds(int count);
/** The same of an apply of the whole file. */
double applyMicroseconds(const FleetSize &size);
/** Heap bytes that stay after count applies of a file with next to nothing in it. */
double revisionHeap(int count);
/** Heap bytes of a fold with the file in force. */
double foldHeap(const FleetSize &size);
/** Bytes of an apply of the file as it is appended. */
double applyRecordBytes(const FleetSize &size);
/** Heap bytes of a full time line of count events. */
double timelineHeap(int count);
/** Prints the bytes of the small records, as they are appended and read. */
void printRecordBytes();

} // namespace almondridge::bench
