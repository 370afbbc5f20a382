#include "rooksill/store/replica.h"

#include <nlohmann/json.hpp>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/store_codec.h"
#include "runner/kinds.h"

namespace runner {

// Pages of machines are applied one by one, as a transaction's changes come; in between and after,
// a machine is known or gone.
void run_replica(const std::vector<Line>& lines) {
  rooksill::store::Replica replica{rooksill::PlatformSettings{}};
  for (const auto& line : lines) {
    const std::string verb = line.word(0);
    if (verb == "kind") continue;
    if (verb == "page") {
      std::map<std::string, rooksill::model::Machine> machines;
      for (size_t i = 4; i < line.words.size(); ++i) {
        rooksill::model::Machine machine;
        machine.name = line.words[i];
        machine.type = "box";
        machine.zone = "a";
        machines[machine.name] = machine;
      }
      const auto key =
          rooksill::wire::machines_key(std::stoi(line.word(1)), std::stoi(line.word(2)));
      const auto revision = std::stoull(line.word(3));
      const bool taken = replica.apply(key, rooksill::wire::encode_machines(machines),
                                       rooksill::model::Revision{revision});
      if (taken != (line.get("taken", 1) != 0)) fail(line, taken ? "taken" : "not taken");
    } else if (verb == "on") {
      const rooksill::model::Machine* machine = replica.machine(line.word(1));
      if (machine == nullptr) fail(line, "gone");
      near(line, machine->page, line.number_at(2), 0);
    } else if (verb == "gone") {
      if (replica.machine(line.word(1)) != nullptr) fail(line, "known");
    } else {
      fail(line, "unknown word " + verb);
    }
  }
}

}  // namespace runner
