// Runs one scenario: a small text file. See docs/testing.md for its words.
#include <iostream>

#include "runner/kinds.h"

using runner::Line;

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: scenario FILE [SEED …] [-v] [--effects]\n";
    return 2;
  }
  const std::string path = argv[1];
  bool verbose = false, effects = false;
  std::vector<uint64_t> seeds;
  for (int i = 2; i < argc; ++i) {
    if (std::string(argv[i]) == "-v")
      verbose = true;
    else if (std::string(argv[i]) == "--effects")
      effects = true;
    else
      seeds.push_back(std::stoull(argv[i]));
  }
  uint64_t seed = 1;
  try {
    const auto lines = runner::parse(path);
    const Line head = lines.empty() ? Line{} : lines.front();
    const std::string kind = !lines.empty() && head.word(0) == "kind" ? head.word(1) : "world";
    if (kind == "sizing") {
      runner::run_sizing(lines);
    } else if (kind == "http") {
      runner::run_http(lines);
    } else if (kind == "recorded") {
      runner::run_recorded(lines);
    } else if (kind == "replica") {
      runner::run_replica(lines);
    } else if (kind == "settings") {
      runner::run_settings(lines);
    } else if (kind == "fuzz") {
      runner::run_fuzz(lines);
    } else {
      if (seeds.empty())
        for (int i = 0; i < static_cast<int>(head.get("seeds", 1)); ++i)
          seeds.push_back(static_cast<uint64_t>(head.get("first", 1)) + static_cast<uint64_t>(i));
      for (uint64_t s : seeds) {
        seed = s;
        const uint64_t digest = runner::play_world(lines, s, verbose);
        if (effects) std::cout << path << " seed " << s << " effects " << digest << "\n";
      }
    }
  } catch (const std::exception& e) {
    std::cerr << path << " seed " << seed << ": " << e.what() << "\n";
    return 1;
  }
  std::cout << path << ": ok\n";
  return 0;
}
