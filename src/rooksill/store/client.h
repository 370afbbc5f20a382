// The store: transactions within its limits, reads, the watch.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/pending_calls.h"
#include "rooksill/settings/settings.h"

namespace rooksill::store {

struct Precondition {
  std::string key;
  model::Revision revision = model::kNoRevision;
};

struct Write {
  std::string key;
  nlohmann::json value;  // null: delete
  uint64_t lease = 0;    // 0: none
};

enum class TransactionOutcome {
  kApplied,   // revision is the revision
  kConflict,  // failed names the keys
  kRefused,   // not executed: 429, 503, or no connection was made
  kTooLarge,  // not executed: a value or the transaction is over the limits, or malformed
  kUnknown,   // may have been, or may yet be, executed
  kNoLease
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  model::Revision revision = model::kNoRevision;
  std::vector<std::string> failed;
};

struct ReadResult {
  bool answered = false, found = false;
  model::Revision revision = model::kNoRevision;
  nlohmann::json value;
};

// A bucket of one second's worth, refilled evenly.
class RateLimit {
 public:
  explicit RateLimit(double per_s) : per_s_(per_s), level_(per_s) {}
  void set_rate(double per_s) { per_s_ = per_s; }
  void refill(double now);
  // `reserve`: part of the bucket that is left to whoever comes with more right.
  bool has(double n, double reserve = 0) const;
  bool take(double n);
  void drain() { level_ = 0; }

 private:
  double per_s_, level_, last_ = 0;
};

using CallFn = std::function<void(std::string method, std::string path, std::string body,
                                  double timeout_s, runtime::CallHandler)>;

class Client {
 public:
  Client(const PlatformSettings& settings, CallFn call);

  using TransactionDone = std::function<void(const TransactionResult&)>;
  using ReadDone = std::function<void(const ReadResult&)>;

  // Whether a transaction of so many writes would go out now and leave that part of the limits.
  bool room_for(double writes, double reserve) const {
    return requests_.has(1, reserve) && (writes <= 0 || writes_.has(writes, reserve));
  }
  // Writes that are left to submissions, which come last and would otherwise never come.
  void keep(double writes) { kept_ = writes; }
  double kept() const { return kept_; }
  // False when the limits leave no room just now; nothing was sent then.
  bool txn(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
           TransactionDone done);
  bool read(const std::string& key, ReadDone done);
  bool raw(const std::string& method, const std::string& path, const std::string& body,
           double timeout_s, runtime::CallHandler done);

  // The limits are the controllers' together: each live one takes an equal share. Once the state
  // service refuses by rate, its lower limit (`state.next`) counts, if one was announced.
  void tick(double now, int sharers);
  double writes_per_s() const { return writes_per_s_; }
  double last_answer() const { return last_answer_; }
  // When the first of the failures since then came.
  double failing_since() const { return failing_since_; }
  // True while answers come.
  bool healthy() const { return last_answer_ >= last_failure_; }

 private:
  void note(const runtime::CallDone& done);
  TransactionResult result_of(const runtime::CallDone& done);
  double write_limit() const {
    return lowered_ ? settings_.state_next_write_rps : settings_.state_write_rps;
  }

  const PlatformSettings& settings_;
  CallFn call_;
  RateLimit requests_, writes_;
  double now_ = 0, last_answer_ = 0, last_failure_ = -1, failing_since_ = 0, kept_ = 0,
         writes_per_s_;
  bool lowered_ = false;
};

}  // namespace rooksill::store
