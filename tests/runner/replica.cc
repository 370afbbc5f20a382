// Scenarios of kind `replica`: a controller's replica of the machine lists in the store.
#include "rooksill/store/replica.h"

#include <nlohmann/json.hpp>

#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"
#include "rooksill/wire/store_codec.h"
#include "runner/kinds.h"
#include "runner/machine_line.h"
#include "runner/verb_table.h"

namespace runner {

namespace {

using rooksill::model::Machine;
using rooksill::model::Revision;
using rooksill::store::Replica;

// page PARTITION PAGE REVISION MACHINE… [rented=TIME] [taken=0]: applies a page with these
// machines. The replica has to accept it, or with taken=0 to ignore it.
void apply_page(Replica& replica, const Line& line) {
  const auto machines = read_machines(line, 4);
  const auto key = rooksill::wire::machines_key(line.integer_at(1), line.integer_at(2));
  const Revision revision{static_cast<uint64_t>(line.integer_at(3))};
  const bool applied = replica.apply(key, rooksill::wire::encode_machines(machines), revision);
  if (applied != (line.get("taken", 1) != 0))
    fail(line, applied ? "the page is applied" : "the page is not applied");
}

// on MACHINE PAGE: the replica has to list the machine on this page.
void expect_on_page(Replica& replica, const Line& line) {
  const Machine* machine = replica.machine(line.word(1));
  if (machine == nullptr) fail(line, "the machine is not in the replica");
  expect_near(line, machine->page, line.number_at(2), 0);
}

// in MACHINE PARTITION: the machine has to belong to this partition.
void expect_in_partition(Replica& replica, const Line& line) {
  const Machine* machine = replica.machine(line.word(1));
  if (machine == nullptr) fail(line, "the machine is not in the replica");
  expect_near(line, machine->partition, line.number_at(2), 0);
}

// duplicates COUNT: so many machines have to be in several pages.
void expect_duplicates(Replica& replica, const Line& line) {
  expect_near(line, static_cast<double>(replica.directory().duplicates().size()), line.number_at(1),
              0);
}

// synced REVISION: all changes up to this revision are known.
void set_synced(Replica& replica, const Line& line) {
  replica.synced_revision = Revision{static_cast<uint64_t>(line.integer_at(1))};
}

// certain REVISION 0|1: whether an unlisted machine of a task in a shard of this revision is
// certain to be gone.
void expect_certain(Replica& replica, const Line& line) {
  rooksill::model::TaskShard shard;
  shard.revision = Revision{static_cast<uint64_t>(line.integer_at(1))};
  expect_near(line, replica.has_current_lists_for(shard) ? 1 : 0, line.number_at(2), 0);
}

// gone MACHINE: the replica must not list the machine.
void expect_unknown(Replica& replica, const Line& line) {
  if (replica.machine(line.word(1)) != nullptr) fail(line, "the machine is still in the replica");
}

const VerbTable<Replica>& verbs() {
  static const VerbTable<Replica> kVerbs("verb", {
                                                     {"kind", {}, [](Replica&, const Line&) {}},
                                                     {"page", {"rented", "taken"}, apply_page},
                                                     {"synced", {}, set_synced},
                                                     {"certain", {}, expect_certain},
                                                     {"in", {}, expect_in_partition},
                                                     {"duplicates", {}, expect_duplicates},
                                                     {"on", {}, expect_on_page},
                                                     {"gone", {}, expect_unknown},
                                                 });
  return kVerbs;
}

}  // namespace

// Applies pages one by one, as the changes of a transaction arrive, and checks between and after
// them which machines the replica lists.
void run_replica(const std::vector<Line>& lines) {
  Replica replica{rooksill::PlatformSettings{}};
  verbs().run_all(replica, lines);
}

}  // namespace runner
