// The kinds of scenario. Each throws a Failure, or another exception, if the scenario fails.
#pragma once

#include <cstdint>
#include <vector>

#include "runner/line.h"

namespace runner {

// Real cores in simulated time against the stand-ins. Returns a digest of all that the controllers
// did (standins/effects_digest.h).
uint64_t play_world(const std::vector<Line>& lines, uint64_t seed, bool verbose);
// Figures of the paper's rule against values worked out apart from the code.
void run_sizing(const std::vector<Line>& lines);
// Messages whole and in pieces.
void run_http(const std::vector<Line>& lines);
// Truncated and mutated input to the codecs, from a fixed seed.
void run_fuzz(const std::vector<Line>& lines);
// Values and messages of the version before upgrade records.
void run_recorded(const std::vector<Line>& lines);
// A controller's copy of the lists of machines.
void run_replica(const std::vector<Line>& lines);
// The platform's settings, with single fields set: accepted, or refused with the field's name.
void run_settings(const std::vector<Line>& lines);

}  // namespace runner
