#include "rooksill/quota/quota_transfers.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "rooksill/quota/quota_shares.h"
#include "rooksill/wire/names.h"
#include "rooksill/wire/store_codec.h"
#include "rooksill/wire/store_keys.h"

namespace rooksill::quota {

namespace {

// The share of an unlimited quota is infinite; none of it is transferred or recorded.
double finite_or_zero(double amount) { return std::isfinite(amount) ? amount : 0; }

}  // namespace

model::QuotaShare QuotaTransfers::outgoing(const std::string& team, int partition) const {
  auto found = transfers_.find(team);
  if (found == transfers_.end() || found->second.from != partition) return {};
  // Once the division has changed, the store's record is authoritative, whoever changed it.
  if (division_revision(replica_, team) != found->second.division_revision) return {};
  return found->second.amount;
}

void QuotaTransfers::start(const wire::QuotaTransfer& request, const model::QuotaShare& unused) {
  const int partitions = static_cast<int>(replica_.leases.size());
  if (request.to < 0 || request.to >= partitions || request.to == request.from) return;
  if (!wire::is_valid_team_name(request.team) || transfers_.count(request.team) != 0) return;
  if (request.revision != division_revision(replica_, request.team)) return;
  Transfer transfer;
  transfer.from = request.from;
  transfer.to = request.to;
  transfer.amount.cpus = std::min(request.cpus, finite_or_zero(unused.cpus));
  transfer.amount.gpus = std::min(request.gpus, finite_or_zero(unused.gpus));
  const model::QuotaShare& amount = transfer.amount;
  const bool is_valid = amount.cpus >= 0 && amount.gpus >= 0 && amount.cpus + amount.gpus > 0;
  if (!is_valid) return;
  transfer.division_revision = request.revision;
  transfer.lease_revision = replica_.leases[static_cast<size_t>(request.from)].revision;
  context_.info("quota",
                "team {}: transferring quota of {} CPUs and {} GPUs from partition {} to {}",
                request.team, amount.cpus, amount.gpus, transfer.from, transfer.to);
  send(request.team, transfers_.emplace(request.team, transfer).first->second);
}

std::vector<model::QuotaShare> QuotaTransfers::division_after(const std::string& team,
                                                              const Transfer& transfer) const {
  const int partitions = static_cast<int>(replica_.leases.size());
  std::vector<model::QuotaShare> shares;
  for (int partition = 0; partition < partitions; ++partition) {
    const model::QuotaShare share = quota_share(context_.settings, replica_, team, partition);
    shares.push_back({finite_or_zero(share.cpus), finite_or_zero(share.gpus)});
  }
  model::QuotaShare& from = shares[static_cast<size_t>(transfer.from)];
  model::QuotaShare& to = shares[static_cast<size_t>(transfer.to)];
  from.cpus -= transfer.amount.cpus;
  from.gpus -= transfer.amount.gpus;
  to.cpus += transfer.amount.cpus;
  to.gpus += transfer.amount.gpus;
  return shares;
}

void QuotaTransfers::send(const std::string& team, Transfer& transfer) {
  const std::string key = wire::quota_key(team);
  const bool sent = committer_.commit(
      {{key, transfer.division_revision},
       {wire::lease_key(transfer.from), transfer.lease_revision}},
      {{key, wire::encode_quota_division(division_after(team, transfer)), 0}},
      [this, team](const store::TransactionResult& result) { on_result(team, result); });
  transfer.progress = sent ? Progress::kSent : Progress::kReadyToSend;
}

void QuotaTransfers::on_result(const std::string& team, const store::TransactionResult& result) {
  auto found = transfers_.find(team);
  if (found == transfers_.end()) return;
  Transfer& transfer = found->second;
  switch (result.outcome) {
    case store::TransactionOutcome::kApplied:
      context_.count("limit_transfers");
      transfers_.erase(found);
      return;
    case store::TransactionOutcome::kConflict:
      // The keys read back show which precondition failed; retry_transfers() then discards the
      // transfer.
      return read_back(team, transfer, result.conflicting_keys);
    case store::TransactionOutcome::kUnknown:
      transfer.has_unanswered_copy = true;
      return read_back(team, transfer, {wire::quota_key(team)});
    case store::TransactionOutcome::kRefused:
    case store::TransactionOutcome::kLeaseExpired:
    case store::TransactionOutcome::kTooLarge:
      // This copy was not executed. If an earlier copy may still be, the amount stays deducted
      // until its outcome is certain.
      transfer.progress = Progress::kReadyToSend;
      if (!transfer.has_unanswered_copy) transfers_.erase(found);
      return;
  }
}

void QuotaTransfers::read_back(const std::string& team, Transfer& transfer,
                               std::vector<std::string> keys) {
  transfer.progress = Progress::kReadingBack;
  committer_.refresh(std::move(keys), [this, team] {
    auto found = transfers_.find(team);
    if (found != transfers_.end()) found->second.progress = Progress::kReadyToSend;
  });
}

void QuotaTransfers::retry_transfers(const OwnsPartition& owns) {
  for (auto it = transfers_.begin(); it != transfers_.end();) {
    const auto& [team, transfer] = *it;
    // Once either precondition has changed, no copy of the transaction can be executed any more.
    const bool is_obsolete = !owns(transfer.from, transfer.lease_revision) ||
                             division_revision(replica_, team) != transfer.division_revision;
    it = is_obsolete && transfer.progress == Progress::kReadyToSend ? transfers_.erase(it)
                                                                    : std::next(it);
  }
  for (auto& [team, transfer] : transfers_)
    if (transfer.progress == Progress::kReadyToSend) send(team, transfer);
}

}  // namespace rooksill::quota
