// The HTTP protocol of the key-value store: transactions, reads, lists, watches and leases.
//
//   transaction:  guards -> preconditions [{k key, stamp revision}], writes -> writes
//                 [{put key, v value, hold lease} or {delete key}]
//   its answer:   epoch -> revision (200), failed -> keys whose preconditions failed (409)
//   read:         k key, v value, stamp revision
//   list:         items -> items [{k key, v value, stamp revision}], truncated -> more,
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

// The transaction is only executed if the key's last change has this revision.
struct Precondition {
  std::string key;
  model::Revision revision = model::kNoRevision;  // kNoRevision: the key does not exist
};

struct Write {
  std::string key;
  nlohmann::json value;  // null: the key is deleted
  uint64_t lease = 0;    // the key is deleted when this lease ends; 0: it has none
};

enum class TransactionOutcome {
  kApplied,      // executed; `revision` is that of its writes
  kConflict,     // not executed: the preconditions on the keys in `failed` did not hold
  kRefused,      // not executed: over a rate (429), unavailable (503), or no connection was made
  kTooLarge,     // not executed: a value or the transaction is over the limits, or malformed
  kUnknown,      // no answer: it may have been, or may yet be, executed
  kLeaseExpired  // not executed: the lease of a write has ended
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  model::Revision revision = model::kNoRevision;
  std::vector<std::string> conflicting_keys;
};

inline const std::string kTransactionPath = "/txn";
std::string encode_transaction(const std::vector<Precondition>& preconditions,
                               std::vector<Write> writes);
// For any status of an answer. One that cannot be decoded leaves the outcome unknown.
TransactionResult decode_transaction_answer(int status, const std::string& body);

// ---- reads, lists, watches ------------------------------------------------------------------

struct StoreItem {
  std::string key;
  nlohmann::json value;
  model::Revision revision = model::kNoRevision;
};

std::string read_path(const std::string& key);
// The answer to a read, which does not repeat the key.
Decoded<StoreItem> decode_read(const std::string& body);

// The longest page of a list that the protocol allows.
inline constexpr int kMaxListPage = 1000;

struct StoreListPage {
  std::vector<StoreItem> items;
  bool has_more = false;     // the list goes on after the last of these
  model::Revision revision;  // of the store when the list was made
};

// The keys with the prefix that come after `after`; empty: from the first one on.
std::string list_path(const std::string& prefix, const std::string& after);
Decoded<StoreListPage> decode_list_page(const std::string& body);

struct StoreChange {
  enum class Kind { kPut, kDelete } kind = Kind::kPut;
  StoreItem item;  // kDelete: without a value
};

struct WatchAnswer {
  std::vector<StoreChange> changes;  // in their order
  model::Revision revision;          // the changes up to here are all in this and earlier answers
};

// The changes after `from` to keys with the prefix. The store waits so long for the first one.
std::string watch_path(const std::string& prefix, model::Revision from, double timeout_s);
Decoded<WatchAnswer> decode_watch(const std::string& body);

// ---- leases ---------------------------------------------------------------------------------

inline const std::string kLeasesPath = "/grants";  // POST: a new lease
std::string encode_lease_request(int ttl_ms);
Decoded<uint64_t> decode_new_lease(const std::string& body);
std::string lease_path(uint64_t lease);  // DELETE: ends the lease
std::string lease_renewal_path(uint64_t lease);

}  // namespace rooksill::wire
