// Tables of the verbs that a scenario's lines may begin with.
#pragma once

#include <algorithm>
#include <initializer_list>
#include <string>
#include <vector>

#include "runner/line.h"

namespace runner {

template <typename Context>
struct Verb {
  const char* name;
  // The parameters it knows. One that ends in '.' stands for all that begin with it.
  std::vector<std::string> parameters;
  void (*run)(Context&, const Line&);
};

// Finds the handler of a line by the line's first word.
template <typename Context>
class VerbTable {
 public:
  // `kind` says in messages what the verbs are.
  VerbTable(std::string kind, std::initializer_list<Verb<Context>> verbs)
      : kind_(std::move(kind)), verbs_(verbs) {}

  // Throws a Failure that names line and word if the verb or a parameter is unknown.
  void check(const Line& line) const {
    const Verb<Context>& verb = find(line);
    for (const auto& [name, value] : line.parameters)
      if (!knows(verb, name)) fail(line, kind_ + " " + verb.name + " knows no '" + name + "='");
  }

  void run(Context& context, const Line& line) const { find(line).run(context, line); }

 private:
  const Verb<Context>& find(const Line& line) const {
    const std::string& name = line.word(0);
    const auto it = std::find_if(verbs_.begin(), verbs_.end(),
                                 [&](const Verb<Context>& verb) { return name == verb.name; });
    if (it == verbs_.end()) fail(line, "unknown " + kind_ + " '" + name + "'");
    return *it;
  }

  static bool knows(const Verb<Context>& verb, const std::string& parameter) {
    return std::any_of(
        verb.parameters.begin(), verb.parameters.end(), [&](const std::string& known) {
          return known.back() == '.' ? parameter.rfind(known, 0) == 0 : parameter == known;
        });
  }

  std::string kind_;
  std::vector<Verb<Context>> verbs_;
};

}  // namespace runner
