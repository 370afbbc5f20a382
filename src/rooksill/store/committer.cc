#include "rooksill/store/committer.h"

#include "rooksill/wire/store_keys.h"

namespace rooksill::store {

namespace {
constexpr double kRetryIntervalSeconds = 0.2;  // after an inconclusive read
}

bool Committer::commit(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                       Client::TransactionHandler done) {
  std::vector<Write> applied_writes = writes;
  return client_.transact(preconditions, std::move(writes),
                          [this, applied_writes = std::move(applied_writes),
                           done = std::move(done)](const TransactionResult& result) {
                            if (result.outcome == TransactionOutcome::kApplied)
                              record_writes(applied_writes, result.revision);
                            done(result);
                          });
}

void Committer::record_writes(const std::vector<Write>& writes, model::Revision revision) {
  for (const auto& write : writes) {
    if (write.value.is_null()) {
      replica_.remove(write.key, revision);
      updates_.push_back({write.key, "", revision});
      continue;
    }
    replica_.apply(write.key, write.value, revision);
    // The leader's key is deleted when its lease expires, so it is not forwarded: only a watch
    // shows whether it still exists.
    if (write.lease == 0) updates_.push_back({write.key, write.value.dump(), revision});
  }
}

void Committer::refresh(std::vector<std::string> keys, std::function<void()> done) {
  const uint64_t id = next_id_++;
  refreshes_.emplace(id, Refresh{std::move(keys), std::move(done)});
  read_next_key(id);
}

void Committer::read_next_key(uint64_t id) {
  auto it = refreshes_.find(id);
  if (it == refreshes_.end()) return;
  Refresh& refresh = it->second;
  if (refresh.keys_read == refresh.keys.size()) {
    auto done = std::move(refresh.done);
    refreshes_.erase(it);
    done();
    return;
  }
  if (refresh.is_reading || context_.now.steady < refresh.next_read_at) return;
  const std::string key = refresh.keys[refresh.keys_read];
  refresh.is_reading =
      client_.read(key, [this, id, key](const ReadResult& read) { on_read(id, key, read); });
}

void Committer::on_read(uint64_t id, const std::string& key, const ReadResult& read) {
  auto it = refreshes_.find(id);
  if (it == refreshes_.end()) return;
  Refresh& refresh = it->second;
  refresh.is_reading = false;
  if (is_conclusive(key, read)) {
    if (read.status == ReadStatus::kFound) replica_.apply(key, read.value, read.revision);
    ++refresh.keys_read;
  } else {
    refresh.next_read_at = context_.now.steady + kRetryIntervalSeconds;
  }
  read_next_key(id);
}

bool Committer::is_conclusive(const std::string& key, const ReadResult& read) const {
  if (read.status == ReadStatus::kFailed) return false;
  // A page of machines that is newer than the replica may have been split. If it were applied
  // alone, machines that moved to the other page would look gone. The watch delivers both pages
  // together, so the read is repeated until the watch has reached this revision.
  const auto parsed = wire::parse_store_key(key);
  const bool is_machine_page = parsed && parsed->kind == wire::KeyKind::kMachines;
  return !is_machine_page || read.revision <= replica_.synced_revision;
}

void Committer::tick() {
  std::vector<uint64_t> due;
  for (const auto& [id, refresh] : refreshes_)
    if (!refresh.is_reading) due.push_back(id);
  for (uint64_t id : due) read_next_key(id);
}

}  // namespace rooksill::store
