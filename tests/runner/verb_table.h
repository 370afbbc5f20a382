// Dispatches scenario lines to handler functions by their first word, the verb.
#pragma once

#include <algorithm>
#include <initializer_list>
#include <string>
#include <vector>

#include "runner/line.h"

namespace runner {

// A verb with its handler. `Context` is the state that handlers read or change.
template <typename Context>
struct Verb {
  const char* name;
  // Names of the accepted parameters. A name that ends in '.' accepts all that begin with it.
  std::vector<std::string> parameters;
  void (*handler)(Context&, const Line&);
};

// The set of verbs that are valid in one place of a scenario file.
template <typename Context>
class VerbTable {
 public:
  // `category` is what error messages call these verbs, such as "action".
  VerbTable(std::string category, std::initializer_list<Verb<Context>> verbs)
      : category_(std::move(category)), verbs_(verbs) {}

  // Throws a Failure that names the line and the word if the verb or a parameter is unknown.
  void check(const Line& line) const {
    const Verb<Context>& verb = find_verb(line);
    for (const auto& [name, value] : line.parameters)
      if (!has_parameter(verb, name))
        fail(line, category_ + " " + verb.name + " has no parameter '" + name + "='");
  }

  // Calls the handler of the line's verb. Throws a Failure if the verb is unknown.
  void run(Context& context, const Line& line) const { find_verb(line).handler(context, line); }
  // Checks all lines, then runs them in order.
  void run_all(Context& context, const std::vector<Line>& lines) const {
    for (const Line& line : lines) check(line);
    for (const Line& line : lines) run(context, line);
  }

 private:
  const Verb<Context>& find_verb(const Line& line) const {
    const std::string& name = line.word(0);
    const auto it = std::find_if(verbs_.begin(), verbs_.end(),
                                 [&](const Verb<Context>& verb) { return name == verb.name; });
    if (it == verbs_.end()) fail(line, "unknown " + category_ + " '" + name + "'");
    return *it;
  }

  static bool has_parameter(const Verb<Context>& verb, const std::string& parameter) {
    return std::any_of(
        verb.parameters.begin(), verb.parameters.end(), [&](const std::string& declared) {
          return declared.back() == '.' ? parameter.rfind(declared, 0) == 0 : parameter == declared;
        });
  }

  std::string category_;
  std::vector<Verb<Context>> verbs_;
};

}  // namespace runner
