// The lines of a scenario file: words, and values with a name.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace runner {

// A scenario that does not come out as its file says, or that cannot be read.
struct Failure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Line {
  int number = 0;
  std::vector<std::string> words;
  std::map<std::string, std::string> named;

  std::string word(size_t i) const;
  double number_at(size_t i) const;
  double get(const std::string& name, double otherwise) const;
  std::string text(const std::string& name, const std::string& otherwise) const;
};

std::vector<std::string> split(const std::string& text, char separator);
std::vector<Line> parse(const std::string& path);
[[noreturn]] void fail(const Line& line, const std::string& why);
void near(const Line& line, double got, double wanted, double tolerance);

}  // namespace runner
