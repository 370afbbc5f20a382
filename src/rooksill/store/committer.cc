#include "rooksill/store/committer.h"

#include "rooksill/wire/store_keys.h"

namespace rooksill::store {

namespace {
constexpr double kRetry = 0.2;  // s, after a read that has settled nothing
}

bool Committer::commit(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                       Client::TransactionDone done) {
  std::vector<Write> copy = writes;
  return client_.transact(
      preconditions, std::move(writes),
      [this, copy = std::move(copy), done = std::move(done)](const TransactionResult& result) {
        if (result.outcome == TransactionOutcome::kApplied) record_writes(copy, result.revision);
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
    // The leader's key can vanish with its lease: only the watch shows whether it is still there.
    if (write.lease == 0) updates_.push_back({write.key, write.value.dump(), revision});
  }
}

void Committer::refresh(std::vector<std::string> keys, std::function<void()> done) {
  const uint64_t id = next_id_++;
  refreshes_.emplace(id, Refresh{std::move(keys), std::move(done)});
  advance(id);
}

void Committer::advance(uint64_t id) {
  auto it = refreshes_.find(id);
  if (it == refreshes_.end()) return;
  Refresh& refresh = it->second;
  if (refresh.answered == refresh.keys.size()) {
    auto done = std::move(refresh.done);
    refreshes_.erase(it);
    done();
    return;
  }
  if (refresh.reading || context_.now.steady < refresh.next_try_at) return;
  const std::string key = refresh.keys[refresh.answered];
  refresh.reading =
      client_.read(key, [this, id, key](const ReadResult& read) { on_read(id, key, read); });
}

void Committer::on_read(uint64_t id, const std::string& key, const ReadResult& read) {
  auto it = refreshes_.find(id);
  if (it == refreshes_.end()) return;
  Refresh& refresh = it->second;
  refresh.reading = false;
  if (usable(key, read)) {
    if (read.status == ReadStatus::kFound) replica_.apply(key, read.value, read.revision);
    ++refresh.answered;
  } else {
    refresh.next_try_at = context_.now.steady + kRetry;
  }
  advance(id);
}

bool Committer::usable(const std::string& key, const ReadResult& read) const {
  if (read.status == ReadStatus::kUnanswered) return false;
  // A page of machines that is read alone may lack what a split has put on another page: a machine
  // would look gone. It is left to the watch, which brings both.
  const auto parsed = wire::parse_store_key(key);
  const bool machines = parsed && parsed->kind == wire::KeyKind::kMachines;
  return !machines || read.revision <= replica_.synced_revision;
}

void Committer::tick() {
  std::vector<uint64_t> due;
  for (const auto& [id, refresh] : refreshes_)
    if (!refresh.reading) due.push_back(id);
  for (uint64_t id : due) advance(id);
}

}  // namespace rooksill::store
