// Runs one scenario file; docs/testing.md describes its statements.
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "runner/kinds.h"

using runner::Line;

namespace {

struct Arguments {
  std::string path;
  std::vector<uint64_t> seeds;  // if empty, the seeds of the `kind` line apply
  bool verbose = false;         // print the controllers' logs
  bool print_effects = false;   // print the digest of each seed's run
};

Arguments parse_arguments(int argc, char** argv) {
  Arguments arguments;
  arguments.path = argv[1];
  for (int i = 2; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "-v")
      arguments.verbose = true;
    else if (argument == "--effects")
      arguments.print_effects = true;
    else
      arguments.seeds.push_back(std::stoull(argument));
  }
  return arguments;
}

using KindFunction = void (*)(const std::vector<Line>&);

// Returns the scenario kinds that do not depend on a seed, by name.
const std::map<std::string, KindFunction>& seedless_kinds() {
  static const std::map<std::string, KindFunction> kKinds{
      {"fuzz", runner::run_fuzz},
      {"http", runner::run_http},
      {"machine_lists", runner::run_machine_lists},
      {"recorded", runner::run_recorded},
      {"replica", runner::run_replica},
      {"settings", runner::run_settings},
      {"sizing", runner::run_sizing},
      {"worker_tokens", runner::run_worker_tokens},
  };
  return kKinds;
}

// Returns the seeds that the line `kind world seeds=N first=N` selects. Without its parameters that
// is the single seed 1.
std::vector<uint64_t> read_seeds(const Line& kind_line) {
  std::vector<uint64_t> seeds;
  const auto first = static_cast<uint64_t>(kind_line.get("first", 1));
  for (uint64_t i = 0; i < static_cast<uint64_t>(kind_line.get("seeds", 1)); ++i)
    seeds.push_back(first + i);
  return seeds;
}

void run_seed(const Arguments& arguments, const std::vector<Line>& lines, uint64_t seed) {
  try {
    const uint64_t digest = runner::run_world(lines, seed, arguments.verbose);
    if (arguments.print_effects)
      std::cout << arguments.path << " seed " << seed << " effects " << digest << "\n";
  } catch (const std::exception& error) {
    throw runner::Failure("seed " + std::to_string(seed) + ": " + error.what());
  }
}

void run(const Arguments& arguments) {
  const auto lines = runner::parse_scenario(arguments.path);
  const bool has_kind_line = !lines.empty() && lines.front().word(0) == "kind";
  const Line kind_line = has_kind_line ? lines.front() : Line{};
  const std::string kind = has_kind_line ? kind_line.word(1) : "world";
  const auto seedless_kind = seedless_kinds().find(kind);
  if (seedless_kind != seedless_kinds().end()) return seedless_kind->second(lines);
  if (kind != "world") fail(kind_line, "unknown scenario kind '" + kind + "'");
  const auto& seeds = arguments.seeds.empty() ? read_seeds(kind_line) : arguments.seeds;
  for (const uint64_t seed : seeds) run_seed(arguments, lines, seed);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: scenario FILE [SEED …] [-v] [--effects]\n";
    return 2;
  }
  const std::string path = argv[1];
  try {
    run(parse_arguments(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << path << ": " << error.what() << "\n";
    return 1;
  }
  std::cout << path << ": ok\n";
  return 0;
}
