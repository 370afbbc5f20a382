// The HTTP protocol of the key-value store: transactions, reads, lists, watches and leases. The
// store's field names and the terms used for them in this code:
//
//   transaction:  guards -> preconditions [{k key, stamp revision}], writes -> writes
//                 [{put key, v value, hold lease} or {delete key}]
//   response:     epoch -> revision (200), failed -> keys whose preconditions failed (409)
//   read:         k key, v value, stamp revision
//   list:         items -> items [{k key, v value, stamp revision}], truncated -> has_more,
//                 epoch -> revision
//   watch:        news -> changes [{put key, v value, stamp revision} or {delete key, stamp}],
//                 epoch -> revision
//   lease:        grants -> leases, ttl_ms, hold -> lease, touch -> renewal
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"
#include "rooksill/wire/decoded.h"

namespace rooksill::wire {

// ---- transactions ---------------------------------------------------------------------------

// A condition of a transaction: the key's last change must have this revision.
struct Precondition {
  std::string key;
  model::Revision revision = model::kNoRevision;  // kNoRevision: the key must not exist
};

// A write of a transaction: puts or deletes a key.
struct Write {
  std::string key;
  nlohmann::json value;  // null: deletes the key
  uint64_t lease = 0;    // the key is deleted when this store lease ends; 0: no lease
};

// What became of a transaction.
enum class TransactionOutcome {
  kApplied,      // executed; `revision` is that of its writes
  kConflict,     // not executed: the preconditions on `conflicting_keys` did not hold
  kRefused,      // not executed: rate limited (429), unavailable (503), or connecting failed
  kTooLarge,     // not executed: a value or the transaction exceeds a limit or is malformed
  kUnknown,      // no usable response: it may have been executed or may yet be
  kLeaseExpired  // not executed: the lease of a write has ended
};

// The result of a transaction.
struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  model::Revision revision = model::kNoRevision;  // of the writes; kApplied only
  std::vector<std::string> conflicting_keys;      // kConflict only
};

// The URL path for executing a transaction.
inline const std::string kTransactionPath = "/txn";
// Returns the body of a transaction request.
std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               std::vector<Write> writes);
// Decodes the response to a transaction, for any HTTP status. The outcome is kUnknown if the
// response cannot be decoded.
TransactionResult decode_transaction_response(int status, const std::string& body);

// ---- reads, lists, watches ------------------------------------------------------------------

// A key with its value and the revision of its last change.
struct StoreItem {
  std::string key;
  nlohmann::json value;
  model::Revision revision = model::kNoRevision;
};

// Returns the URL path for reading a key.
std::string read_path(const std::string& key);
// Decodes the response to a read. `key` of the result is empty, since the response omits it.
Decoded<StoreItem> decode_read(const std::string& body);

// The maximum number of items in a list page that the protocol allows.
inline constexpr int kMaxListPage = 1000;

// A page of a list of keys.
struct StoreListPage {
  std::vector<StoreItem> items;
  bool has_more = false;     // further pages follow
  model::Revision revision;  // of the store when the page was read
};

// Returns the URL path for listing the keys with a prefix that sort after `after`; if that is
// empty, the list starts with the first key.
std::string list_path(const std::string& prefix, const std::string& after);
// Decodes a list page. Malformed items are skipped.
Decoded<StoreListPage> decode_list_page(const std::string& body);

// A change of a key, as reported by a watch.
struct StoreChange {
  enum class Kind { kPut, kDelete } kind = Kind::kPut;
  StoreItem item;  // kDelete: the value is null
};

// The response to a watch request.
struct WatchResponse {
  std::vector<StoreChange> changes;  // in the order in which they were made
  model::Revision revision;          // all changes up to this revision have now been reported
};

// Returns the URL path for watching the keys with a prefix: the changes after revision `from`. The
// store waits up to `timeout_s` for the first change (long polling).
std::string watch_path(const std::string& prefix, model::Revision from, double timeout_s);
// Decodes the response to a watch request. Malformed changes are skipped.
Decoded<WatchResponse> decode_watch(const std::string& body);

// ---- leases ---------------------------------------------------------------------------------

inline const std::string kLeasesPath = "/grants";  // POST: creates a lease
// Returns the body of a request for a new lease.
std::string encode_lease_request(int ttl_ms);
// Decodes the response to a request for a new lease: the id of the lease.
Decoded<uint64_t> decode_new_lease(const std::string& body);
// Returns the URL path of a lease. DELETE: ends the lease.
std::string lease_path(uint64_t lease);
// Returns the URL path for renewing a lease.
std::string lease_renewal_path(uint64_t lease);

}  // namespace rooksill::wire
