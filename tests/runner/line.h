// Parses scenario files. A line consists of words and of parameters of the form name=value.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace runner {

// Thrown when a scenario does not meet its expectations or its file is invalid.
struct Failure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line of a scenario file. Methods that convert a value, and those that require a word, throw a
// Failure that names the line and the word at fault.
struct Line {
  int number = 0;                  // in the file, from 1
  std::vector<std::string> words;  // in order, without the parameters
  std::map<std::string, std::string> parameters;

  // Return the word at position `i` as text, as a number, or truncated to an integer.
  const std::string& word(size_t i) const;
  double number_at(size_t i) const;
  int integer_at(size_t i) const;
  // Return the value of a parameter, or the default if the line lacks it.
  double get(const std::string& name, double default_value) const;
  int get_integer(const std::string& name, int default_value) const;
  // Returns whether a numeric parameter is present and not zero.
  bool get_flag(const std::string& name) const { return get(name, 0) != 0; }
  // Returns the value of a parameter as text, or the default if the line lacks it.
  std::string text(const std::string& name, const std::string& default_value) const;
  bool has(const std::string& name) const { return parameters.count(name) != 0; }
  // Returns a copy without the first `count` words; the parameters and the line number stay.
  Line without_words(size_t count) const;
};

// Splits the text at each separator.
std::vector<std::string> split(const std::string& text, char separator);
// Reads the scenario file. Leaves out comments, which begin with `#`, and lines without any words.
// Throws a Failure if the file cannot be read.
std::vector<Line> parse_scenario(const std::string& path);
// Throws a Failure that begins with the line number.
[[noreturn]] void fail(const Line& line, const std::string& reason);
// Throws a Failure if `got` differs from `expected` by more than `tolerance`.
void expect_near(const Line& line, double got, double expected, double tolerance);

}  // namespace runner
