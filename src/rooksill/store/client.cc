#include "rooksill/store/client.h"

#include <algorithm>
#include <utility>

namespace rooksill::store {

using nlohmann::json;

void RateLimit::refill(double now) {
  level_ = std::min(per_s_, level_ + (now - last_) * per_s_);
  last_ = now;
}

bool RateLimit::has(double n, double reserve) const {
  // A transaction larger than a whole second's worth goes out on a full bucket.
  return level_ >= std::min(n + reserve * per_s_, per_s_ * 0.95);
}

bool RateLimit::take(double n) {
  if (!has(n)) return false;
  level_ -= n;
  return true;
}

Client::Client(const PlatformSettings& settings, CallFn call)
    : settings_(settings),
      call_(std::move(call)),
      requests_(settings.state_rps / settings.controllers),
      writes_(settings.state_write_rps / settings.controllers),
      writes_per_s_(settings.state_write_rps / settings.controllers) {}

void Client::tick(double now, int sharers) {
  now_ = now;
  // Less a margin for the others' clocks and views.
  const double share = 0.95 / std::max(1, sharers);
  writes_per_s_ = write_limit() * share;
  requests_.set_rate(settings_.state_rps * share);
  writes_.set_rate(writes_per_s_);
  requests_.refill(now);
  writes_.refill(now);
}

void Client::note(const runtime::CallDone& done) {
  if (done.status == 429) lowered_ = true;
  if (done.status == 0 || done.status == 503) {
    if (healthy()) failing_since_ = now_;
    last_failure_ = now_;
  } else {
    last_answer_ = now_;
  }
}

bool Client::raw(const std::string& method, const std::string& path, const std::string& body,
                 double timeout_s, runtime::CallHandler done) {
  if (!requests_.take(1)) return false;
  call_(method, path, body, timeout_s, [this, done = std::move(done)](const runtime::CallDone& r) {
    note(r);
    done(r);
  });
  return true;
}

bool Client::read(const std::string& key, ReadDone done) {
  return raw("GET", "/store/" + key, "", 1.0, [done = std::move(done)](const runtime::CallDone& r) {
    ReadResult out;
    if (r.status == 404) {
      out.answered = true;
    } else if (r.status == 200) {
      json j = json::parse(r.body, nullptr, false);
      if (j.is_object() && j.contains("v") && j.contains("stamp") &&
          j["stamp"].is_number_unsigned()) {
        out.answered = out.found = true;
        out.revision = j["stamp"];
        out.value = std::move(j["v"]);
      }
    }
    done(out);
  });
}

bool Client::txn(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                 TransactionDone done) {
  const double puts = static_cast<double>(writes.size());
  if (!room_for(puts, 0)) return false;
  requests_.take(1);
  if (puts > 0) writes_.take(puts);
  json g = json::array(), w = json::array();
  for (const auto& x : preconditions) g.push_back({{"k", x.key}, {"stamp", x.revision}});
  for (auto& x : writes) {
    if (x.value.is_null()) {
      w.push_back({{"delete", x.key}});
      continue;
    }
    json p{{"put", x.key}, {"v", std::move(x.value)}};
    if (x.lease != 0) p["hold"] = x.lease;
    w.push_back(std::move(p));
  }
  json body{{"guards", std::move(g)}, {"writes", std::move(w)}};
  call_("POST", "/txn", body.dump(-1, ' ', false, json::error_handler_t::replace), 1.0,
        [this, done = std::move(done)](const runtime::CallDone& r) {
          note(r);
          done(result_of(r));
        });
  return true;
}

TransactionResult Client::result_of(const runtime::CallDone& done) {
  TransactionResult out;
  if (done.status == 429 || done.status == 503) {
    out.outcome = TransactionOutcome::kRefused;
    writes_.drain();
    return out;
  }
  if (done.status == 0) {
    out.outcome = done.refused ? TransactionOutcome::kRefused : TransactionOutcome::kUnknown;
    return out;
  }
  const json j = json::parse(done.body, nullptr, false);
  if (done.status == 200 && j.is_object() && j.contains("epoch") &&
      j["epoch"].is_number_unsigned()) {
    out.outcome = TransactionOutcome::kApplied;
    out.revision = j["epoch"];
  } else if (done.status == 409 && j.is_object() && j.contains("failed") &&
             j["failed"].is_array()) {
    out.outcome = TransactionOutcome::kConflict;
    for (const auto& k : j["failed"])
      if (k.is_string()) out.failed.push_back(k);
  } else if (done.status == 400) {
    const bool no_lease = done.body.find("no such lease") != std::string::npos;
    out.outcome = no_lease ? TransactionOutcome::kNoLease : TransactionOutcome::kTooLarge;
  }
  return out;
}

}  // namespace rooksill::store
