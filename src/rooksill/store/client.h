// Client of the key-value store: sends transactions, reads and other requests within rate limits.
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

// Outcome of reading one key.
enum class ReadStatus {
  kFailed,  // no valid response: the state of the key is unknown
  kAbsent,  // the key does not exist in the store
  kFound
};

// Result of reading one key. `revision` and `value` are set only with kFound.
struct ReadResult {
  ReadStatus status = ReadStatus::kFailed;
  model::Revision revision = model::kNoRevision;
  nlohmann::json value;
};

// Sends an HTTP request to the store. The handler runs with the response, or when the timeout
// expires.
using CallFn = std::function<void(std::string method, std::string path, std::string body,
                                  double timeout_s, runtime::CallHandler)>;

// Sends requests to the store within this controller's share of the store's rate limits, and tracks
// whether the store responds. All times are in seconds of the steady clock.
class Client {
 public:
  // The settings must outlive the client.
  Client(const PlatformSettings& settings, CallFn call);

  using TransactionHandler = std::function<void(const TransactionResult&)>;
  using ReadHandler = std::function<void(const ReadResult&)>;

  // transact(), read() and request() return false if the rate limits have no capacity at the
  // moment. In that case nothing is sent and the handler does not run.

  // Sends a transaction: applies all writes if every precondition holds.
  bool transact(const std::vector<Precondition>& preconditions, std::vector<Write> writes,
                TransactionHandler handler);
  // Reads one key.
  bool read(const std::string& key, ReadHandler handler);
  // Sends any other request of the store's protocol.
  bool request(const std::string& method, const std::string& path, const std::string& body,
               double timeout_s, runtime::CallHandler handler);

  // Returns whether a transaction with this number of writes could be sent now and leave `reserve`,
  // a fraction of one second's budget, unused in each rate limit.
  bool has_capacity_for(double writes, double reserve) const {
    return request_limit_.has_tokens(1, reserve) &&
           (writes <= 0 || write_limit_.has_tokens(writes, reserve));
  }
  // Reserves a number of writes for job submissions. Submissions are sent last and would starve
  // otherwise. The client does not enforce the reservation: callers of has_capacity_for() add
  // reserved_writes() to their own writes.
  void set_reserved_writes(double writes) { reserved_writes_ = writes; }
  // Returns the number of writes that are reserved for job submissions.
  double reserved_writes() const { return reserved_writes_; }

  // Refills the rate limits. The limits in the settings apply to all controllers together: each of
  // the `live_controllers` gets an equal share. Once the store has rejected a request for exceeding
  // its rate, the announced lower write limit (`state.next` in the settings) applies, if there is
  // one.
  void tick(double now, int live_controllers);
  // Returns this controller's share of the write limit, in writes per second.
  double writes_per_s() const { return writes_per_s_; }

  // Returns when the last response arrived, other than "service unavailable" (503).
  double last_response_at() const { return last_response_at_; }
  // Returns when the first failure after the last response was recorded.
  double failing_since() const { return failing_since_; }
  // Returns whether the most recently completed request got a response other than 503.
  bool is_healthy() const { return last_response_at_ >= last_failure_at_; }

 private:
  void record_response(const runtime::CallDone& response);
  TransactionResult transaction_result(const runtime::CallDone& response);
  // The write limit of all controllers together.
  double total_writes_per_s() const {
    return uses_lower_limit_ ? settings_.store_next_writes_per_s : settings_.store_writes_per_s;
  }

  const PlatformSettings& settings_;
  CallFn call_;
  RateLimit request_limit_;
  RateLimit write_limit_;
  double writes_per_s_;
  double reserved_writes_ = 0;
  bool uses_lower_limit_ = false;  // the store has rejected a request with 429
  double now_ = 0;                 // time of the last tick
  double last_response_at_ = 0;
  double last_failure_at_ = -1;
  double failing_since_ = 0;
};

}  // namespace rooksill::store
