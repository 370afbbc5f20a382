// The lines of a scenario file: words, and parameters of the form name=value.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace runner {

// A scenario that does not come out as its file says, or that cannot be read.
struct Failure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// All methods throw a Failure that names the line and the word at fault.
struct Line {
  int number = 0;
  std::vector<std::string> words;
  std::map<std::string, std::string> parameters;

  const std::string& word(size_t i) const;
  double number_at(size_t i) const;
  int integer_at(size_t i) const;
  double get(const std::string& name, double otherwise) const;
  int get_integer(const std::string& name, int otherwise) const;
  bool get_flag(const std::string& name) const { return get(name, 0) != 0; }
  std::string text(const std::string& name, const std::string& otherwise) const;
  bool has(const std::string& name) const { return parameters.count(name) != 0; }
  // The same line without its first words.
  Line without_words(size_t count) const;
};

std::vector<std::string> split(const std::string& text, char separator);
// Without comments and empty lines.
std::vector<Line> parse(const std::string& path);
[[noreturn]] void fail(const Line& line, const std::string& why);
void near(const Line& line, double got, double wanted, double tolerance);

}  // namespace runner
