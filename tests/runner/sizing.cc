#include "rooksill/policy/sizing.h"

#include "rooksill/policy/demand.h"
#include "runner/kinds.h"

namespace runner {

// Figures of the paper's rule against values worked out apart from the code.
void run_sizing(const std::vector<Line>& lines) {
  namespace p = rooksill::policy;
  p::Demand demand;
  for (const auto& l : lines) {
    const std::string verb = l.word(0);
    if (verb == "busy") {
      near(l, p::expected_busy(l.get("t", 1), l.get("y", 0), l.get("mu", 1), l.get("lambda", 1)),
           l.get("is", 0), l.get("within", 1e-6));
    } else if (verb == "full") {
      near(l,
           p::chance_full(l.get("s", 1), static_cast<int>(l.get("y", 0)),
                          static_cast<int>(l.get("rented", 1)), l.get("mu", 1), l.get("lambda", 1)),
           l.get("is", 0), l.get("within", 1e-6));
    } else if (verb == "unplanned") {
      near(l,
           p::expected_unplanned(l.get("t", 1), static_cast<int>(l.get("y", 0)),
                                 static_cast<int>(l.get("rented", 1)), l.get("mu", 1),
                                 l.get("lambda", 1)),
           l.get("is", 0), l.get("within", 1e-6));
    } else if (verb == "size") {
      p::SizingInput in;
      in.x = static_cast<int>(l.get("x", 0));
      in.y = l.get("y", 0);
      in.lambda = l.get("lambda", 1);
      in.mu = l.get("mu", 1);
      in.ceiling = static_cast<int>(l.get("ceiling", 20));
      in.periods = static_cast<int>(l.get("periods", 3));
      in.c1 = l.get("c1", 1);
      in.c2 = l.get("c2", 3);
      in.h = l.get("h", 1);
      const auto out = p::size_fleet(in);
      if (l.parameters.count("u") != 0) near(l, out.u, l.get("u", 0), 0);
      if (l.parameters.count("at_least") != 0 && out.u < l.get("at_least", 0))
        fail(l, "u is " + std::to_string(out.u));
      if (l.parameters.count("at_most") != 0 && out.u > l.get("at_most", 0))
        fail(l, "u is " + std::to_string(out.u));
      if (l.parameters.count("cost") != 0)
        near(l, out.cost, l.get("cost", 0), l.get("within", 1e-6));
    } else if (verb == "period") {
      demand.arrived(l.get("arrived", 0));
      demand.finished(l.get("finished", 0));
      demand.busy(l.get("busy", 0), 1);
      demand.end_period(1, l.get("cap", 3));
    } else if (verb == "demand") {
      if (l.parameters.count("lambda") != 0)
        near(l, demand.lambda(), l.get("lambda", 0), l.get("within", 1e-6));
      if (l.parameters.count("mu") != 0)
        near(l, demand.mu(), l.get("mu", 0), l.get("within", 1e-6));
    } else if (verb != "kind") {
      fail(l, "unknown word " + verb);
    }
  }
}

}  // namespace runner
