// Coordination records that controllers share through the key-value store: leadership, partition
// leases, quota divisions, liveness, and versions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"

namespace rooksill::model {

// Names the controller that owns a partition. Every change of this key makes transactions of the
// previous owner fail, because they have the key's revision as a precondition.
struct PartitionLease {
  Revision revision = kNoRevision;
  std::string owner;                             // label of the controller
  uint64_t incarnation = 0;                      // of the owner's process
  FencingToken fencing_token = kNoFencingToken;  // increases with each lease
};

// A worker's fencing token is the fencing token of the owner's lease, shifted left by this number
// of bits, plus the number of increments that the owner has made for the worker since.
inline constexpr int kFencingTokenShiftBits = 20;

// Consecutive fencing tokens, both ends included.
struct FencingTokenRange {
  FencingToken first = kNoFencingToken;
  FencingToken last = kNoFencingToken;
};

// Returns the fencing tokens that an owner with this lease may send to a worker. They are below
// those of all later leases.
constexpr FencingTokenRange worker_tokens(FencingToken lease_token) {
  const auto first_of = [](FencingToken token) {
    return static_cast<FencingToken>(number(token) << kFencingTokenShiftBits);
  };
  return {first_of(lease_token), previous(first_of(next(lease_token)))};
}

// An amount of CPUs and GPUs out of a team's quota.
struct QuotaShare {
  double cpus = 0;
  double gpus = 0;
};

// Division of a team's quota among the partitions. The store has no such record until the first
// quota transfer; until then the division follows from the settings.
struct QuotaDivision {
  Revision revision = kNoRevision;
  std::vector<QuotaShare> shares;  // indexed by partition
};

// Identifies the current leader. The record is bound to a lease of the store and is deleted when
// that lease expires.
struct Leadership {
  Revision revision = kNoRevision;  // kNoRevision: there is no leader
  std::string label;                // of the leading controller
  uint64_t incarnation = 0;
  uint64_t term = 0;
};

// Written to the store by a controller, for controllers that it cannot connect to or that cannot
// connect to it.
struct LivenessRecord {
  Revision revision = kNoRevision;
  uint64_t incarnation = 0;
  // Nearly all of its machines are unreachable, so it is likely to be cut off itself.
  bool suspects_itself = false;
  // Controllers that it receives no messages from, or that receive none from it.
  std::vector<std::string> intended_recipients;
  std::vector<std::string> unreachable_machines;  // at most a limited number of them
  std::vector<std::string> unreachable_zones;     // zones whose machines it cannot reach
};

// Versions of the stored data, also used as versions of the envelopes between controllers. Version
// 1 supports neither version records nor gang jobs.
inline constexpr int kFirstVersion = 1;
inline constexpr int kPresentVersion = 2;

// Version of a controller process, recorded by the process itself when it starts.
struct VersionRecord {
  Revision revision = kNoRevision;
  uint64_t incarnation = 0;
  int version = 0;
};

// States that every controller runs at least this version. Written once.
struct UpgradeRecord {
  Revision revision = kNoRevision;  // kNoRevision: not written yet
  int version = 0;
};

}  // namespace rooksill::model
