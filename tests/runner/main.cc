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
  std::vector<uint64_t> seeds;  // empty: those that the file names
  bool verbose = false;
  bool print_effects = false;
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

// Those that do not depend on a seed.
const std::map<std::string, KindFunction>& kinds_without_seed() {
  static const std::map<std::string, KindFunction> kKinds{
      {"fuzz", runner::run_fuzz},         {"http", runner::run_http},
      {"recorded", runner::run_recorded}, {"replica", runner::run_replica},
      {"settings", runner::run_settings}, {"sizing", runner::run_sizing},
  };
  return kKinds;
}

// A first line `kind world seeds=N first=N` names the seeds; without it there is one.
std::vector<uint64_t> seeds_of(const Line& head) {
  std::vector<uint64_t> seeds;
  const auto first = static_cast<uint64_t>(head.get("first", 1));
  for (uint64_t i = 0; i < static_cast<uint64_t>(head.get("seeds", 1)); ++i)
    seeds.push_back(first + i);
  return seeds;
}

void play_seed(const Arguments& arguments, const std::vector<Line>& lines, uint64_t seed) {
  try {
    const uint64_t digest = runner::play_world(lines, seed, arguments.verbose);
    if (arguments.print_effects)
      std::cout << arguments.path << " seed " << seed << " effects " << digest << "\n";
  } catch (const std::exception& error) {
    throw runner::Failure("seed " + std::to_string(seed) + ": " + error.what());
  }
}

void run(const Arguments& arguments) {
  const auto lines = runner::parse(arguments.path);
  const bool has_head = !lines.empty() && lines.front().word(0) == "kind";
  const Line head = has_head ? lines.front() : Line{};
  const std::string kind = has_head ? head.word(1) : "world";
  const auto known = kinds_without_seed().find(kind);
  if (known != kinds_without_seed().end()) return known->second(lines);
  if (kind != "world") fail(head, "unknown kind '" + kind + "'");
  const auto& seeds = arguments.seeds.empty() ? seeds_of(head) : arguments.seeds;
  for (const uint64_t seed : seeds) play_seed(arguments, lines, seed);
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
