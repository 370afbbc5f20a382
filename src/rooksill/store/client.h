// The key-value store's client: transactions, reads and other requests within the store's limits.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/runtime/pending_calls.h"
#include "rooksill/settings/settings.h"
#include "rooksill/store/rate_limit.h"
#include "rooksill/wire/store_protocol_codec.h"

namespace rooksill::store {

using wire::Precondition;
using wire::TransactionOutcome;
using wire::TransactionResult;
using wire::Write;

enum class ReadStatus {
  kUnanswered,  // nothing is known of the key
  kAbsent,      // the store does not have the key
  kFound
};

struct ReadResult {
  ReadStatus status = ReadStatus::kUnanswered;
  // With kFound only.
  model::Revision revision = model::kNoRevision;
  nlohmann::json value;
};

// Sends a request to the store and runs the handler with its answer, or once it has timed out.
using CallFn = std::function<void(std::string method, std::string path, std::string body,
                                  double timeout_s, runtime::CallHandler)>;

// Sends nothing beyond this controller's share of the store's limits, and knows whether the store
// answers. Times are seconds of the steady clock.
class Client {
 public:
  Client(const PlatformSettings& settings, CallFn call);

  using TransactionDone = std::function<void(const TransactionResult&)>;
  using ReadDone = std::function<void(const ReadResult&)>;

  // transact(), read() and request() return false when the limits leave no room just now. Nothing
  // was sent then, and the handler does not run.
  bool transact(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                TransactionDone done);
  bool read(const std::string& key, ReadDone done);
  // Any other request of the store's protocol.
  bool request(const std::string& method, const std::string& path, const std::string& body,
               double timeout_s, runtime::CallHandler done);

  // Whether a transaction of so many writes would go out now and leave that part of the limits.
  bool room_for(double writes, double reserve) const {
    return requests_.has(1, reserve) && (writes <= 0 || writes_.has(writes, reserve));
  }
  // Writes that are left to submissions, which come last and would otherwise never come. Callers of
  // room_for() add them.
  void reserve_writes(double writes) { reserved_writes_ = writes; }
  double reserved_writes() const { return reserved_writes_; }

  // The limits are those of all controllers together: each of the `sharers` that are alive takes an
  // equal share. Once the store has refused by rate, its lower limit (`state.next` of the settings)
  // counts, if one was announced.
  void tick(double now, int sharers);
  double writes_per_s() const { return writes_per_s_; }

  double last_answer() const { return last_answer_; }
  // When the first of the failures since the last answer came.
  double failing_since() const { return failing_since_; }
  // Whether the last request that ended was answered.
  bool healthy() const { return last_answer_ >= last_failure_; }

 private:
  void note_answer(const runtime::CallDone& done);
  TransactionResult transaction_result(const runtime::CallDone& done);
  double write_limit() const {
    return lowered_ ? settings_.store_next_writes_per_s : settings_.store_writes_per_s;
  }

  const PlatformSettings& settings_;
  CallFn call_;
  RateLimit requests_;
  RateLimit writes_;
  double writes_per_s_;
  double reserved_writes_ = 0;
  bool lowered_ = false;  // the store has refused by rate
  double now_ = 0;
  double last_answer_ = 0;
  double last_failure_ = -1;
  double failing_since_ = 0;
};

}  // namespace rooksill::store
