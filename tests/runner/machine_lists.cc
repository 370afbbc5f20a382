// Scenarios of kind `machine_lists`: the transactions that the leader writes for changes of the
// partitions' lists of machines, with the store's responses given by the scenario.
#include "rooksill/fleet/machine_lists.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/context.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/client.h"
#include "rooksill/store/committer.h"
#include "rooksill/store/machine_directory.h"
#include "rooksill/store/replica.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"
#include "rooksill/wire/store_protocol_codec.h"
#include "runner/kinds.h"
#include "runner/machine_line.h"
#include "runner/verb_table.h"

namespace runner {

namespace {

using nlohmann::json;
using rooksill::model::Revision;
using rooksill::runtime::CallDone;

constexpr double kStepSeconds = 10;  // between two rounds of writes; refills the rate limits

// A value limit that is going to be lowered: a page may then hold fewer machines with long names
// than with names of typical length.
rooksill::Settings lowered_limits() {
  rooksill::Settings settings;
  settings.platform.store_max_value_bytes = 1024;
  return settings;
}

// The leader's machine lists with a replica that only the scenario changes, and the requests to the
// store that have no response yet.
class LeaderLists {
 public:
  rooksill::store::Replica& replica() { return replica_; }
  rooksill::fleet::MachineLists& lists() { return lists_; }

  // Sends the transactions that are due.
  void write() {
    context_.now.steady += kStepSeconds;
    client_.tick(context_.now.steady, 1);
    lists_.write_changes();
  }
  // Returns the number of requests without a response.
  size_t request_count() const { return requests_.size(); }
  // Removes the next write from the oldest transaction and returns it; null: there is none.
  json take_write() {
    if (requests_.empty()) return nullptr;
    json& writes = requests_.front().body["writes"];
    if (writes.empty()) return nullptr;
    json first = writes.front();
    writes.erase(writes.begin());
    return first;
  }
  // Responds to the oldest request with this status and revision.
  void respond(int status, uint64_t revision) {
    take_request().handler(CallDone{0, status, json{{"epoch", revision}}.dump()});
  }
  // Responds to all reads that the pages are as the replica knows them.
  void answer_reads() {
    const std::string read_prefix = rooksill::wire::read_path("");
    while (!requests_.empty() && requests_.front().path.rfind(read_prefix, 0) == 0) {
      const Request request = take_request();
      request.handler(read_response(request.path.substr(read_prefix.size())));
    }
  }

 private:
  struct Request {
    std::string path;
    json body;
    rooksill::runtime::CallHandler handler;
  };

  Request take_request() {
    Request request = std::move(requests_.front());
    requests_.pop_front();
    return request;
  }

  CallDone read_response(const std::string& key) const {
    const auto parsed = rooksill::wire::parse_store_key(key);
    const auto* page = replica_.directory().page({parsed->partition, parsed->page});
    if (page == nullptr) return CallDone{0, 404, json{{"epoch", 1}}.dump()};
    const json item = {{"k", key},
                       {"v", rooksill::wire::encode_machines(page->machines)},
                       {"stamp", rooksill::model::number(page->revision)}};
    return CallDone{0, 200, item.dump()};
  }

  const rooksill::Settings settings_ = lowered_limits();
  rooksill::runtime::Context context_{settings_, 1};
  rooksill::store::Replica replica_{settings_.platform};
  std::deque<Request> requests_;
  rooksill::store::Client client_{
      settings_.platform,
      [this](const std::string&, const std::string& path, const std::string& body, double,
             rooksill::runtime::CallHandler handler) {
        requests_.push_back({path, json::parse(body, nullptr, false), std::move(handler)});
      }};
  rooksill::store::Committer committer_{context_, replica_, client_};
  rooksill::fleet::MachineLists lists_{context_, replica_, committer_};
};

std::vector<std::string> names_in(const Line& line, size_t first) {
  std::vector<std::string> names;
  for (const auto& [name, machine] : read_machines(line, first)) names.push_back(name);
  return names;
}

// page PARTITION PAGE REVISION MACHINE…: the page as the watch delivers it.
void apply_page(LeaderLists& leader, const Line& line) {
  const Revision revision{static_cast<uint64_t>(line.integer_at(3))};
  leader.replica().apply(rooksill::wire::machines_key(line.integer_at(1), line.integer_at(2)),
                         rooksill::wire::encode_machines(read_machines(line, 4)), revision);
  leader.replica().synced_revision = std::max(leader.replica().synced_revision, revision);
}

// add PARTITION MACHINE… new=COUNT: so many of these machines are new to the lists.
void add(LeaderLists& leader, const Line& line) {
  rooksill::fleet::Offer offer;
  offer.pool.type = "box";
  offer.zone = "a";
  const size_t added = leader.lists().add(names_in(line, 2), offer, line.integer_at(1));
  expect_near(line, static_cast<double>(added), line.get("new", 0), 0);
}

void remove(LeaderLists& leader, const Line& line) {
  for (const auto& name : names_in(line, 1)) leader.lists().remove(name);
}

void write(LeaderLists& leader, const Line&) { leader.write(); }

// puts PARTITION PAGE MACHINE…: the next write of the oldest transaction.
void expect_put(LeaderLists& leader, const Line& line) {
  const json write = leader.take_write();
  if (write.is_null()) fail(line, "no such write");
  const auto key = rooksill::wire::machines_key(line.integer_at(1), line.integer_at(2));
  const auto machines = rooksill::wire::decode_machines(write.at("v"));
  std::vector<std::string> names;
  for (const auto& [name, machine] : *machines) names.push_back(name);
  if (write.at("put") != key || names != names_in(line, 3)) fail(line, "got " + write.dump());
}

// idle: no request is without a response.
void expect_idle(LeaderLists& leader, const Line& line) {
  if (leader.request_count() != 0) fail(line, "there is a request");
}

// applied REVISION: the store has applied the oldest transaction.
void apply_transaction(LeaderLists& leader, const Line& line) {
  leader.respond(200, static_cast<uint64_t>(line.integer_at(1)));
}

// no_response: the oldest transaction gets none and may be applied later; the pages are read back.
void lose_response(LeaderLists& leader, const Line&) {
  leader.respond(0, 0);
  leader.answer_reads();
}

const VerbTable<LeaderLists>& verbs() {
  static const VerbTable<LeaderLists> kVerbs("verb",
                                             {
                                                 {"kind", {}, [](LeaderLists&, const Line&) {}},
                                                 {"page", {"rented", "pad"}, apply_page},
                                                 {"add", {"new", "pad"}, add},
                                                 {"remove", {"pad"}, remove},
                                                 {"write", {}, write},
                                                 {"puts", {"pad"}, expect_put},
                                                 {"idle", {}, expect_idle},
                                                 {"applied", {}, apply_transaction},
                                                 {"no_response", {}, lose_response},
                                             });
  return kVerbs;
}

}  // namespace

void run_machine_lists(const std::vector<Line>& lines) {
  LeaderLists leader;
  verbs().run_all(leader, lines);
}

}  // namespace runner
