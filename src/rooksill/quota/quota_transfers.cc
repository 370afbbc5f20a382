#include "rooksill/quota/quota_transfers.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/identifiers.h"
#include "rooksill/quota/quota_shares.h"
#include "rooksill/wire/store_codec.h"

namespace rooksill::quota {

namespace {

// A share of a limit that is not set is infinite, and nothing of it is passed on or recorded.
double finite(double amount) { return std::isfinite(amount) ? amount : 0; }

}  // namespace

model::Revision QuotaTransfers::revision_of(const std::string& team) const {
  auto known = replica_.quota_divisions.find(team);
  return known == replica_.quota_divisions.end() ? model::kNoRevision : known->second.revision;
}

model::QuotaShare QuotaTransfers::leaving(const std::string& team, int partition) const {
  auto it = pending_.find(team);
  if (it == pending_.end() || it->second.from != partition) return {};
  // Once the division has changed, the state says what is left, whoever changed it.
  if (revision_of(team) != it->second.revision) return {};
  return it->second.amount;
}

void QuotaTransfers::start(const wire::QuotaTransfer& t, const model::QuotaShare& unused) {
  const int partitions = static_cast<int>(replica_.leases.size());
  if (t.to < 0 || t.to >= partitions || t.to == t.from) return;
  if (!wire::valid_quota_key(t.team) || pending_.count(t.team) != 0 ||
      t.revision != revision_of(t.team))
    return;
  Pending p;
  p.from = t.from;
  p.to = t.to;
  p.amount.cpus = std::min(t.cpus, finite(unused.cpus));
  p.amount.gpus = std::min(t.gpus, finite(unused.gpus));
  if (!(p.amount.cpus >= 0) || !(p.amount.gpus >= 0) || p.amount.cpus + p.amount.gpus <= 0) return;
  p.revision = t.revision;
  p.lease = replica_.leases[static_cast<size_t>(t.from)].revision;
  ctx_.info("holder", "team {}: {} cores and {} gpus of its limit pass from block {} to block {}",
            t.team, p.amount.cpus, p.amount.gpus, p.from, p.to);
  send(t.team, pending_.emplace(t.team, p).first->second);
}

void QuotaTransfers::send(const std::string& team, Pending& p) {
  const int partitions = static_cast<int>(replica_.leases.size());
  std::vector<model::QuotaShare> shares;
  for (int b = 0; b < partitions; ++b) {
    const model::QuotaShare share = quota_share(ctx_.settings, replica_, team, b);
    shares.push_back({finite(share.cpus), finite(share.gpus)});
  }
  model::QuotaShare& from = shares[static_cast<size_t>(p.from)];
  model::QuotaShare& to = shares[static_cast<size_t>(p.to)];
  from.cpus -= p.amount.cpus;
  from.gpus -= p.amount.gpus;
  to.cpus += p.amount.cpus;
  to.gpus += p.amount.gpus;
  p.busy = committer_.commit(
      {{wire::quota_key(team), p.revision}, {wire::lease_key(p.from), p.lease}},
      {{wire::quota_key(team), wire::encode_quota_division(shares), 0}},
      [this, team](const store::TransactionResult& result) { settle(team, result); });
}

void QuotaTransfers::settle(const std::string& team, const store::TransactionResult& result) {
  auto it = pending_.find(team);
  if (it == pending_.end()) return;
  Pending& p = it->second;
  auto read_back = [this, team](std::vector<std::string> keys) {
    committer_.refresh(std::move(keys), [this, team] {
      if (auto again = pending_.find(team); again != pending_.end()) again->second.busy = false;
    });
  };
  switch (result.outcome) {
    case store::TransactionOutcome::kApplied:
      ctx_.count("limit_transfers");
      pending_.erase(it);
      return;
    case store::TransactionOutcome::kConflict:
      // A guard failed, and the keys read back show which: tick() forgets the transfer then.
      read_back(result.failed);
      return;
    case store::TransactionOutcome::kUnknown:
      p.uncertain = true;
      read_back({wire::quota_key(team)});
      return;
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kNoLease:
    case store::TransactionOutcome::kTooLarge:
      p.busy = false;
      // Not executed. Where one before may yet be, the amount stays gone until that is settled.
      if (!p.uncertain) pending_.erase(it);
      return;
  }
}

void QuotaTransfers::tick(const OwnsPartition& owns) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto& [team, p] = *it;
    // With either guard changed, no copy of the transaction can be carried out any more.
    const bool over = !owns(p.from, p.lease) || revision_of(team) != p.revision;
    it = over && !p.busy ? pending_.erase(it) : std::next(it);
  }
  for (auto& [team, p] : pending_)
    if (!p.busy) send(team, p);
}

}  // namespace rooksill::quota
