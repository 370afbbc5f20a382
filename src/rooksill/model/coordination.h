// What controllers agree on through the key-value store: who leads, who owns which partition, how
// quotas are divided, who is alive, which version runs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rooksill/model/identifiers.h"

namespace rooksill::model {

// Who may act for a partition. Changing this key makes the former owner's transactions fail.
struct PartitionLease {
  Revision revision = kNoRevision;
  std::string owner;                             // a controller's label
  uint64_t incarnation = 0;                      // of the owner's process
  FencingToken fencing_token = kNoFencingToken;  // rises with each lease
};

// An owner raises tokens below its lease's: a worker's token is the lease's, shifted by so many
// bits, plus what the owner added since.
inline constexpr int kFencingTokenShiftBits = 20;

// The lowest token that an owner under this lease sends.
constexpr FencingToken first_worker_token(FencingToken lease_token) {
  return static_cast<FencingToken>(number(lease_token) << kFencingTokenShiftBits);
}

// CPUs and GPUs of a team's quota.
struct QuotaShare {
  double cpus = 0;
  double gpus = 0;
};

// How a team's quota is divided among the partitions. Until the first transfer the store has no
// such record, and the division is the one that the settings give.
struct QuotaDivision {
  Revision revision = kNoRevision;
  std::vector<QuotaShare> shares;  // by partition
};

// Who leads, under a lease of the store.
struct Leadership {
  Revision revision = kNoRevision;  // kNoRevision: nobody leads
  std::string label;
  uint64_t incarnation = 0;
  uint64_t term = 0;
};

// What a controller leaves in the store for those that it cannot connect to, or that cannot connect
// to it.
struct LivenessRecord {
  Revision revision = kNoRevision;
  uint64_t incarnation = 0;
  bool suspects_itself = false;
  std::vector<std::string> intended_recipients;  // controllers that it does not hear, or that do not hear it
  std::vector<std::string> unreachable_machines;     // some of its silent machines
  std::vector<std::string> unreachable_zones;  // whose machines it cannot reach
};

// Version 1 knows neither version records nor gang jobs. Envelopes between controllers have the
// same numbers.
inline constexpr int kFirstVersion = 1;
inline constexpr int kPresentVersion = 2;

// The version of a controller's process, as it recorded it itself when it started.
struct VersionRecord {
  Revision revision = kNoRevision;
  uint64_t incarnation = 0;
  int version = 0;
};

// Says that every controller has at least this version. Written once.
struct UpgradeRecord {
  Revision revision = kNoRevision;  // kNoRevision: not written yet
  int version = 0;
};

}  // namespace rooksill::model
