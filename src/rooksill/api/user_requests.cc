#include "rooksill/api/user_requests.h"

#include <algorithm>
#include <set>

#include "rooksill/membership/upgrade.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/model/job.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/user_codec.h"

namespace rooksill::api {

namespace {
constexpr double kRetryAfter = 1;    // the shortest pause a user makes
constexpr double kPatience = 1.5;    // below the 2 s that a user waits for a poll
constexpr double kPollShare = 0.15;  // part of this node's requests that comparing polls may take
constexpr double kCreationShare = 0.2;  // and creations
constexpr double kKeptShare = 0.3;      // of a second's writes, kept for submissions that wait
constexpr size_t kMaxLookups = 64;      // reads of unknown ids under way
constexpr int kMaxInFlight = 2;         // transactions of a kind under way
}  // namespace

void UserRequests::handle(const runtime::Request& r) {
  const std::string prefix = "/api/jobs";
  if (r.target == prefix) {
    if (r.method != "POST") return ctx_.reply(r.id, 405, wire::encode_error("use POST"));
    return submit(r);
  }
  if (r.target.compare(0, prefix.size() + 1, prefix + "/") != 0)
    return ctx_.reply(r.id, 404, wire::encode_error("no such path"));
  std::string id = r.target.substr(prefix.size() + 1);
  const std::string tail = "/cancel";
  bool cancelling =
      id.size() > tail.size() && id.compare(id.size() - tail.size(), tail.size(), tail) == 0;
  if (cancelling) id.resize(id.size() - tail.size());
  if (id.find('/') != std::string::npos)
    return ctx_.reply(r.id, 404, wire::encode_error("no such path"));
  if (r.method != (cancelling ? "POST" : "GET"))
    return ctx_.reply(r.id, 405, wire::encode_error(cancelling ? "use POST" : "use GET"));
  if (!wire::valid_job_id(id)) return ctx_.reply(r.id, 404, wire::encode_error("no such job"));
  if (cancelling)
    cancel(r.id, id, 0);
  else
    poll(r.id, id);
}

void UserRequests::later(uint64_t request) {
  ctx_.count("put_off");
  ctx_.reply(request, 503, wire::encode_error("try again"), kRetryAfter);
}

std::string UserRequests::unrunnable(const model::JobSpec& s) const {
  auto team = ctx_.settings.platform.teams.find(s.team);
  if (team == ctx_.settings.platform.teams.end()) return "unknown team";
  const double count = s.shape == model::Shape::kArray ? 1 : s.tasks;
  if (s.shape == model::Shape::kGang) {
    const auto& p = ctx_.settings.platform;
    if (p.gang_wait_s <= 0 || p.gang_peer_s <= 0) return "workers here run no gangs";
    // All tasks of an attempt are placed with one change of one value.
    if (s.tasks > replica_.tasks_per_shard()) return "more tasks than can be started at once";
  }
  const auto& limit = team->second;
  if (limit.cpus_max > 0 && s.request.cpus * count > limit.cpus_max)
    return "more than the team's limit";
  if (limit.gpus_max > 0 && s.request.gpus * count > limit.gpus_max)
    return "more than the team's limit";
  for (const auto& [name, t] : replica_.types) {
    if (!s.allows_type(name)) continue;
    if (!s.zone.empty() && std::find(t.zones.begin(), t.zones.end(), s.zone) == t.zones.end())
      continue;
    if (s.request.cpus <= t.capacity.cpus && s.request.gpus <= t.capacity.gpus &&
        s.request.memory_gb <= t.capacity.memory_gb)
      return "";
  }
  return "a task fits no allowed machine type";
}

void UserRequests::submit(const runtime::Request& r) {
  std::string error;
  auto spec = wire::parse_job(r.body, error);
  if (!spec) return ctx_.reply(r.id, 400, wire::encode_error(error));
  // A retry of an accepted job is answered with its state, whatever else would be said of it.
  if (replica_.job(spec->id) != nullptr) return poll(r.id, spec->id);
  if (!replica_.synced || replica_.types.empty()) return later(r.id);
  if (std::string why = unrunnable(*spec); !why.empty()) return refuse(r.id, spec->id, why);
  // Controllers of the version before would start a gang's tasks one by one.
  if (spec->shape == model::Shape::kGang && !membership::Upgrade::complete(replica_))
    return later(r.id);
  Creation c;
  c.request = r.id;
  c.since = ctx_.now.steady;
  c.job.submitted = ctx_.now.wall;
  c.job.spec = std::move(*spec);
  c.job.tasks_per_shard = replica_.tasks_per_shard();
  if (wire::encode_job(c.job).dump().size() > ctx_.settings.platform.state_value_bytes * 9 / 10)
    return ctx_.reply(r.id, 400, wire::encode_error("builds: too long"));
  const auto bound = static_cast<size_t>(ctx_.settings.platform.state_write_rps * 2);
  if (creations_.size() >= bound) return later(r.id);
  creations_.push_back(std::move(c));
}

// A job that can never run. Under its id another node may have accepted a job a moment ago that is
// not known here yet: a repeat of that one is answered with its state, however it reads.
void UserRequests::refuse(uint64_t request, const std::string& id, const std::string& why) {
  look_up(
      request, id, [this, request, id] { poll(request, id); },
      [this, request, why] { ctx_.reply(request, 422, wire::encode_error(why)); });
}

// Between two transactions of a kind, so that together they take no more than their share.
double UserRequests::pause(double share) const {
  const auto& p = ctx_.settings.platform;
  return p.controllers / (share * p.state_rps);
}

void UserRequests::flush_creations() {
  while (!creations_.empty() && ctx_.now.steady - creations_.front().since > kPatience) {
    later(creations_.front().request);
    creations_.pop_front();
  }
  if (creations_.empty() || creating_ >= kMaxInFlight || ctx_.now.steady < next_creation_) return;
  // A group goes out at once; the limits decide how large it may be.
  size_t most = std::min(ctx_.settings.platform.state_txn_ops, creations_.size());
  while (most > 1 && !client_.room_for(static_cast<double>(most), 0)) --most;
  std::vector<Creation> group;
  std::vector<store::Precondition> preconditions;
  std::vector<store::Write> writes;
  std::set<std::string> ids;
  size_t bytes = 0;
  for (size_t i = 0; i < most; ++i) {
    Creation& c = creations_[i];
    if (!ids.insert(c.job.spec.id).second) break;  // the same id twice: the second one waits
    auto value = wire::encode_job(c.job);
    bytes += value.dump().size() + 200;
    if (bytes > size_t{48} * 1024 && i > 0) break;
    preconditions.push_back({wire::job_key(c.job.spec.id), model::kNoRevision});
    writes.push_back({wire::job_key(c.job.spec.id), std::move(value), 0});
    group.push_back(c);
  }
  const size_t taken = group.size();
  bool sent = committer_.commit(
      preconditions, std::move(writes), [this, group](const store::TransactionResult& result) {
        --creating_;
        switch (result.outcome) {
          case store::TransactionOutcome::kApplied:
            for (const auto& c : group) {
              accepted_.push_back(c.job.spec.id);
              ctx_.debug("api", "job {} accepted: class {} team {} tasks {}", c.job.spec.id,
                         c.job.spec.job_class, c.job.spec.team, c.job.spec.tasks);
              ctx_.reply(c.request, 201, wire::encode_accepted(c.job.spec.id));
            }
            break;
          case store::TransactionOutcome::kConflict:
            // Some ids exist already: those get their state, the others go out again.
            for (const auto& c : group) {
              const std::string key = wire::job_key(c.job.spec.id);
              if (std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end())
                poll(c.request, c.job.spec.id);
              else
                creations_.push_front(c);
            }
            break;
          case store::TransactionOutcome::kRefused:
          case store::TransactionOutcome::kNoLease:
          case store::TransactionOutcome::kTooLarge:
            for (const auto& c : group) later(c.request);
            break;
          case store::TransactionOutcome::kUnknown:
            // Read back before answering: it may have been applied.
            for (const auto& c : group)
              look_up(
                  c.request, c.job.spec.id,
                  [this, c] {
                    accepted_.push_back(c.job.spec.id);
                    answer(c.request, c.job.spec.id);
                  },
                  // One that was not applied may be sent again; 404 would end it.
                  [this, c] { later(c.request); });
            break;
        }
      });
  if (!sent) return;
  ctx_.count("creations", static_cast<double>(taken));
  next_creation_ = ctx_.now.steady + pause(kCreationShare);
  ++creating_;
  creations_.erase(creations_.begin(), creations_.begin() + static_cast<long>(taken));
}

// Reads a job that is not known here.
void UserRequests::look_up(uint64_t request, const std::string& id, std::function<void()> found) {
  look_up(request, id, std::move(found),
          [this, request] { ctx_.reply(request, 404, wire::encode_error("no such job")); });
}

void UserRequests::look_up(uint64_t request, const std::string& id, std::function<void()> found,
                           std::function<void()> absent) {
  if (lookups_ >= kMaxLookups) return later(request);
  bool sent =
      client_.read(wire::job_key(id), [this, request, id, found = std::move(found),
                                       absent = std::move(absent)](const store::ReadResult& r) {
        --lookups_;
        if (!r.answered) return later(request);
        if (r.found) replica_.apply(wire::job_key(id), r.value, r.revision);
        if (replica_.job(id) != nullptr) return found();
        absent();
      });
  if (sent)
    ++lookups_;
  else
    later(request);
}

void UserRequests::answer(uint64_t request, const std::string& id) {
  ctx_.reply(request, 200, wire::encode_status(*replica_.job(id)));
}

void UserRequests::poll(uint64_t request, const std::string& id) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr) return look_up(request, id, [this, request, id] { answer(request, id); });
  if (job->over()) return answer(request, id);  // final states stay
  // Another node may have told this user of an end that has not reached us: ask the state.
  if (polls_.size() >= ctx_.settings.platform.state_txn_ops * 16) return later(request);
  polls_.push_back({request, id, ctx_.now.steady});
}

void UserRequests::flush_polls() {
  while (!polls_.empty() && ctx_.now.steady - polls_.front().since > kPatience) {
    later(polls_.front().request);
    polls_.pop_front();
  }
  if (polls_.empty() || checking_ >= kMaxInFlight || ctx_.now.steady < next_check_) return;
  const size_t most = std::min(polls_.size(), ctx_.settings.platform.state_txn_ops * 4);
  std::vector<Poll> group(polls_.begin(), polls_.begin() + static_cast<long>(most));
  std::set<std::string> ids;
  std::vector<store::Precondition> preconditions;
  for (const auto& p : group)
    if (ids.insert(p.id).second)
      preconditions.push_back({wire::job_key(p.id), replica_.job(p.id)->revision});
  bool sent = client_.txn(preconditions, {}, [this, group](const store::TransactionResult& r) {
    --checking_;
    if (r.outcome == store::TransactionOutcome::kApplied) {
      for (const auto& p : group) answer(p.request, p.id);
    } else if (r.outcome == store::TransactionOutcome::kConflict) {
      std::set<std::string> failed(r.failed.begin(), r.failed.end());
      for (const auto& p : group) {
        if (failed.count(wire::job_key(p.id)) == 0)
          answer(p.request, p.id);
        else
          look_up(p.request, p.id, [this, p] { answer(p.request, p.id); });
      }
    } else {
      for (const auto& p : group) later(p.request);
    }
  });
  if (!sent) return;
  next_check_ = ctx_.now.steady + pause(kPollShare);
  ++checking_;
  polls_.erase(polls_.begin(), polls_.begin() + static_cast<long>(most));
}

void UserRequests::cancel(uint64_t request, const std::string& id, int tries) {
  const model::Job* job = replica_.job(id);
  if (job == nullptr)
    return look_up(request, id, [this, request, id, tries] { cancel(request, id, tries); });
  if (job->over()) return answer(request, id);
  if (tries > 3) return later(request);
  model::Job ended;
  ended.spec = job->spec;
  ended.submitted = job->submitted;
  ended.tasks_per_shard = job->tasks_per_shard;
  ended.end = model::JobEnd::kCancelled;
  auto record = wire::encode_job(ended);
  // A record from before the store lowered its limits; its types are of no more use.
  if (record.dump().size() > ctx_.settings.platform.state_value_bytes) {
    ended.spec.types.clear();
    record = wire::encode_job(ended);
  }
  bool sent = committer_.commit(
      {{wire::job_key(id), job->revision}}, {{wire::job_key(id), std::move(record), 0}},
      [this, request, id, tries](const store::TransactionResult& r) {
        switch (r.outcome) {
          case store::TransactionOutcome::kApplied:
            ctx_.debug("api", "job {} cancelled", id);
            return answer(request, id);
          case store::TransactionOutcome::kConflict:
            return look_up(request, id,
                           [this, request, id, tries] { cancel(request, id, tries + 1); });
          case store::TransactionOutcome::kUnknown:
            return look_up(request, id, [this, request, id] {
              if (replica_.job(id)->over())
                answer(request, id);
              else
                later(request);
            });
          case store::TransactionOutcome::kRefused:
          case store::TransactionOutcome::kNoLease:
          case store::TransactionOutcome::kTooLarge:
            return later(request);
        }
      });
  if (!sent) later(request);
}

void UserRequests::flush() {
  flush_creations();
  const auto& p = ctx_.settings.platform;
  client_.keep(std::min(static_cast<double>(creations_.size()),
                        kKeptShare * p.state_write_rps / p.controllers));
  flush_polls();
}

}  // namespace rooksill::api
