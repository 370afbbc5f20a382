#include "rooksill/core/limit_transfers.h"

#include <algorithm>
#include <cmath>

#include "rooksill/core/codec.h"
#include "rooksill/placement/limit_shares.h"

namespace rooksill::core {

using state::Outcome;

namespace {

// A share of a limit that is not set is infinite, and nothing of it is passed on or recorded.
double finite(double amount) { return std::isfinite(amount) ? amount : 0; }

}  // namespace

uint64_t LimitTransfers::stamp_of(const std::string& team) const {
  auto known = replica_.divisions.find(team);
  return known == replica_.divisions.end() ? 0 : known->second.stamp;
}

LimitShare LimitTransfers::leaving(const std::string& team, int block) const {
  auto it = pending_.find(team);
  if (it == pending_.end() || it->second.from != block) return {};
  // Once the division has changed, the state says what is left, whoever changed it.
  if (stamp_of(team) != it->second.stamp) return {};
  return it->second.amount;
}

void LimitTransfers::start(const net::LimitTransfer& t, const LimitShare& unused) {
  const int blocks = static_cast<int>(replica_.leases.size());
  if (t.to < 0 || t.to >= blocks || t.to == t.from) return;
  if (!valid_limit_key(t.team) || pending_.count(t.team) != 0 || t.stamp != stamp_of(t.team))
    return;
  Pending p;
  p.from = t.from;
  p.to = t.to;
  p.amount.cpus = std::min(t.cpus, finite(unused.cpus));
  p.amount.gpus = std::min(t.gpus, finite(unused.gpus));
  if (!(p.amount.cpus >= 0) || !(p.amount.gpus >= 0) || p.amount.cpus + p.amount.gpus <= 0) return;
  p.stamp = t.stamp;
  p.lease = replica_.leases[static_cast<size_t>(t.from)].stamp;
  ctx_.info("holder", "team {}: {} cores and {} gpus of its limit pass from block {} to block {}",
            t.team, p.amount.cpus, p.amount.gpus, p.from, p.to);
  send(t.team, pending_.emplace(t.team, p).first->second);
}

void LimitTransfers::send(const std::string& team, Pending& p) {
  const int blocks = static_cast<int>(replica_.leases.size());
  std::vector<LimitShare> shares;
  for (int b = 0; b < blocks; ++b) {
    const LimitShare share = placement::limit_share(ctx_.settings, replica_, team, b);
    shares.push_back({finite(share.cpus), finite(share.gpus)});
  }
  LimitShare& from = shares[static_cast<size_t>(p.from)];
  LimitShare& to = shares[static_cast<size_t>(p.to)];
  from.cpus -= p.amount.cpus;
  from.gpus -= p.amount.gpus;
  to.cpus += p.amount.cpus;
  to.gpus += p.amount.gpus;
  p.busy =
      committer_.commit({{limit_key(team), p.stamp}, {lease_key(p.from), p.lease}},
                        {{limit_key(team), encode_division(shares), 0}},
                        [this, team](const state::TxnResult& result) { settle(team, result); });
}

void LimitTransfers::settle(const std::string& team, const state::TxnResult& result) {
  auto it = pending_.find(team);
  if (it == pending_.end()) return;
  Pending& p = it->second;
  auto read_back = [this, team](std::vector<std::string> keys) {
    committer_.refresh(std::move(keys), [this, team] {
      if (auto again = pending_.find(team); again != pending_.end()) again->second.busy = false;
    });
  };
  switch (result.outcome) {
    case Outcome::kApplied:
      ctx_.count("limit_transfers");
      pending_.erase(it);
      return;
    case Outcome::kConflict:
      // A guard failed, and the keys read back show which: tick() forgets the transfer then.
      read_back(result.failed);
      return;
    case Outcome::kUnknown:
      p.uncertain = true;
      read_back({limit_key(team)});
      return;
    case Outcome::kRefused:
    case Outcome::kNoLease:
    case Outcome::kTooLarge:
      p.busy = false;
      // Not executed. Where one before may yet be, the amount stays gone until that is settled.
      if (!p.uncertain) pending_.erase(it);
      return;
  }
}

void LimitTransfers::tick(const Holds& holds) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto& [team, p] = *it;
    // With either guard changed, no copy of the transaction can be carried out any more.
    const bool over = !holds(p.from, p.lease) || stamp_of(team) != p.stamp;
    it = over && !p.busy ? pending_.erase(it) : std::next(it);
  }
  for (auto& [team, p] : pending_)
    if (!p.busy) send(team, p);
}

}  // namespace rooksill::core
