#include "runner/line.h"

#include <cmath>
#include <fstream>
#include <sstream>

namespace runner {

namespace {

double parse_number(const Line& line, const std::string& text) {
  size_t used = 0;
  double number = 0;
  try {
    number = std::stod(text, &used);
  } catch (const std::logic_error&) {
    used = 0;
  }
  if (used == 0 || used != text.size()) fail(line, "'" + text + "' is not a number");
  return number;
}

Line parse_line(int number, const std::string& text) {
  Line line;
  line.number = number;
  std::istringstream words(text.substr(0, text.find('#')));
  for (std::string word; words >> word;) {
    const auto equals = word.find('=');
    if (equals != std::string::npos && equals > 0)
      line.parameters[word.substr(0, equals)] = word.substr(equals + 1);
    else
      line.words.push_back(word);
  }
  return line;
}

}  // namespace

const std::string& Line::word(size_t i) const {
  if (i >= words.size())
    fail(*this, (words.empty() ? "the line" : "'" + words.back() + "'") +
                    " requires another word after it");
  return words[i];
}

double Line::number_at(size_t i) const { return parse_number(*this, word(i)); }

int Line::integer_at(size_t i) const { return static_cast<int>(number_at(i)); }

double Line::get(const std::string& name, double default_value) const {
  auto it = parameters.find(name);
  return it == parameters.end() ? default_value : parse_number(*this, it->second);
}

int Line::get_integer(const std::string& name, int default_value) const {
  return static_cast<int>(get(name, default_value));
}

std::string Line::text(const std::string& name, const std::string& default_value) const {
  auto it = parameters.find(name);
  return it == parameters.end() ? default_value : it->second;
}

Line Line::without_words(size_t count) const {
  if (count > words.size()) fail(*this, "the line has too few words");
  Line rest = *this;
  rest.words.erase(rest.words.begin(), rest.words.begin() + static_cast<std::ptrdiff_t>(count));
  return rest;
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) parts.push_back(part);
  return parts;
}

std::vector<Line> parse_scenario(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw Failure(path + ": cannot be read");
  std::vector<Line> lines;
  int number = 0;
  for (std::string text; std::getline(in, text);) {
    Line line = parse_line(++number, text);
    if (!line.words.empty()) lines.push_back(std::move(line));
  }
  return lines;
}

void fail(const Line& line, const std::string& reason) {
  throw Failure("line " + std::to_string(line.number) + ": " + reason);
}

void expect_near(const Line& line, double got, double expected, double tolerance) {
  if (std::abs(got - expected) > tolerance)
    fail(line, "got " + std::to_string(got) + ", expected " + std::to_string(expected));
}

}  // namespace runner
