#include "rooksill/store/committer.h"

#include "rooksill/wire/store_codec.h"

namespace rooksill::store {

using nlohmann::json;

namespace {
constexpr double kRetry = 0.2;
}

bool Committer::commit(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                       Client::TransactionDone done) {
  std::vector<Write> copy = writes;
  return client_.txn(
      preconditions, std::move(writes),
      [this, copy = std::move(copy), done = std::move(done)](const TransactionResult& r) {
        if (r.outcome == TransactionOutcome::kApplied) {
          for (const auto& w : copy) {
            if (w.value.is_null()) {
              replica_.remove(w.key, r.revision);
              updates_.push_back({w.key, "", r.revision});
              continue;
            }
            replica_.apply(w.key, w.value, r.revision);
            // The leader's key can vanish with its lease: only the watch tells.
            if (w.lease == 0) updates_.push_back({w.key, w.value.dump(), r.revision});
          }
        }
        done(r);
      });
}

void Committer::refresh(std::vector<std::string> keys, std::function<void()> done) {
  Refresh r;
  r.keys = std::move(keys);
  r.done = std::move(done);
  uint64_t id = next_id_++;
  refreshes_.emplace(id, std::move(r));
  advance(id);
}

void Committer::advance(uint64_t id) {
  auto it = refreshes_.find(id);
  if (it == refreshes_.end()) return;
  Refresh& r = it->second;
  if (r.answered == r.keys.size()) {
    auto done = std::move(r.done);
    refreshes_.erase(it);
    done();
    return;
  }
  if (r.busy || ctx_.now.steady < r.next) return;
  const std::string key = r.keys[r.answered];
  r.busy = client_.read(key, [this, id, key](const ReadResult& read) {
    auto at = refreshes_.find(id);
    if (at == refreshes_.end()) return;
    at->second.busy = false;
    // A page of machines that is read alone may lack what a split has put on another page: a
    // machine would look gone. It is left to the watch, which brings both.
    const bool ahead = wire::is_machines_key(key) && read.revision > replica_.synced_revision;
    if (read.answered && !ahead) {
      if (read.found) replica_.apply(key, read.value, read.revision);
      ++at->second.answered;
    } else {
      at->second.next = ctx_.now.steady + kRetry;
    }
    advance(id);
  });
}

void Committer::tick() {
  std::vector<uint64_t> ids;
  for (const auto& [id, r] : refreshes_)
    if (!r.busy) ids.push_back(id);
  for (uint64_t id : ids) advance(id);
}

}  // namespace rooksill::store
