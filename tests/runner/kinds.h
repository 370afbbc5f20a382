// Entry points of the scenario kinds, one for each value of a file's `kind` line. Each runs all
// lines of a scenario and throws a Failure, or another exception, if the scenario fails.
#pragma once

#include <cstdint>
#include <vector>

#include "runner/line.h"

namespace runner {

// Runs the real controller code in simulated time against simulated users, machines, store and
// cloud. Returns a digest of everything that the controllers did
// (standins/effects_digest.h), except log lines, by which two runs can be compared. `verbose`
// prints the controllers' logs.
uint64_t run_world(const std::vector<Line>& lines, uint64_t seed, bool verbose);
// Compares the results of the fleet-sizing rule and of the demand estimates with values that were
// computed independently of the code.
void run_sizing(const std::vector<Line>& lines);
// Feeds HTTP messages to the parser, whole and in fragments, and checks the result.
void run_http(const std::vector<Line>& lines);
// Feeds truncated and mutated messages to the codecs and the HTTP parser, from a fixed seed.
void run_fuzz(const std::vector<Line>& lines);
// Decodes and re-encodes recorded store values and peer messages of the first version, which has no
// upgrade records.
void run_recorded(const std::vector<Line>& lines);
// Applies pages of the machine lists to a controller's replica of the store.
void run_replica(const std::vector<Line>& lines);
// Writes changes of the machine lists as the leader, with given responses of the store.
void run_machine_lists(const std::vector<Line>& lines);
// Runs the fencing tokens of one worker through requests, responses and removals.
void run_worker_tokens(const std::vector<Line>& lines);
// Parses the platform settings with single fields changed, and checks that they are accepted or
// rejected with an error that names the field.
void run_settings(const std::vector<Line>& lines);

}  // namespace runner
