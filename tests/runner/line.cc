#include "runner/line.h"

#include <cmath>
#include <fstream>
#include <sstream>

namespace runner {

std::string Line::word(size_t i) const {
  if (i >= words.size()) throw Failure("line " + std::to_string(number) + ": too short");
  return words[i];
}

double Line::number_at(size_t i) const { return std::stod(word(i)); }

double Line::get(const std::string& name, double otherwise) const {
  auto it = named.find(name);
  return it == named.end() ? otherwise : std::stod(it->second);
}

std::string Line::text(const std::string& name, const std::string& otherwise) const {
  auto it = named.find(name);
  return it == named.end() ? otherwise : it->second;
}

std::vector<std::string> split(const std::string& s, char c) {
  std::vector<std::string> out;
  std::istringstream in(s);
  for (std::string part; std::getline(in, part, c);) out.push_back(part);
  return out;
}

std::vector<Line> parse(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw Failure(path + ": cannot be read");
  std::vector<Line> out;
  int number = 0;
  for (std::string text; std::getline(in, text);) {
    ++number;
    text = text.substr(0, text.find('#'));
    Line line;
    line.number = number;
    std::istringstream words(text);
    for (std::string w; words >> w;) {
      auto eq = w.find('=');
      if (eq != std::string::npos && eq > 0)
        line.named[w.substr(0, eq)] = w.substr(eq + 1);
      else
        line.words.push_back(w);
    }
    if (!line.words.empty()) out.push_back(line);
  }
  return out;
}

void fail(const Line& line, const std::string& why) {
  throw Failure("line " + std::to_string(line.number) + ": " + why);
}

void near(const Line& line, double got, double wanted, double tolerance) {
  if (std::abs(got - wanted) > tolerance)
    fail(line, "got " + std::to_string(got) + ", expected " + std::to_string(wanted));
}

}  // namespace runner
