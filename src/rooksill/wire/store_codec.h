// The service's own records in the store.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rooksill/model/coordination.h"
#include "rooksill/model/job.h"
#include "rooksill/model/machine.h"

namespace rooksill::wire {

// Keys: everything lies under one prefix, so that one watch shows all of it.
inline const std::string kPrefix = "rk/";
std::string job_key(const std::string& id);
std::string shard_key(const std::string& id, uint32_t shard);
std::string lease_key(int partition);
std::string machines_key(int partition, int page);
std::string type_key(const std::string& name);
std::string liveness_key(const std::string& label);
std::string quota_key(const std::string& team);
std::string version_key(const std::string& label);
// Whether a key's value is a page of a partition's list of machines.
bool is_machines_key(const std::string& key);
// Whether a team's name may be part of a key, and of the path that reads the key.
bool valid_quota_key(const std::string& team);
inline const std::string kLeaderKey = "rk/lead";
inline const std::string kTermKey = "rk/term";
inline const std::string kUpgradeKey = "rk/upgrade";

nlohmann::json encode_job(const model::Job& job);
bool decode_job(const nlohmann::json& v, model::Job& job);
nlohmann::json encode_shard(const std::vector<model::TaskState>& tasks);
bool decode_shard(const nlohmann::json& v, size_t count, std::vector<model::TaskState>& tasks);
nlohmann::json encode_lease(const model::PartitionLease& lease);
bool decode_lease(const nlohmann::json& v, model::PartitionLease& lease);
nlohmann::json encode_machines(const std::map<std::string, model::Machine>& machines);
bool decode_machines(const nlohmann::json& v, std::map<std::string, model::Machine>& machines);
nlohmann::json encode_liveness(const model::LivenessRecord& sign);
bool decode_liveness(const nlohmann::json& v, model::LivenessRecord& sign);
nlohmann::json encode_quota_division(const std::vector<model::QuotaShare>& shares);
bool decode_quota_division(const nlohmann::json& v, size_t partitions,
                           std::vector<model::QuotaShare>& shares);
nlohmann::json encode_version(const model::VersionRecord& record);
bool decode_version(const nlohmann::json& v, model::VersionRecord& record);
nlohmann::json encode_upgrade(const model::UpgradeRecord& record);
bool decode_upgrade(const nlohmann::json& v, model::UpgradeRecord& record);
nlohmann::json encode_type(const model::MachineType& type);
bool decode_type(const nlohmann::json& v, model::MachineType& type);

nlohmann::json encode_spec(const model::JobSpec& spec);
bool decode_spec(const nlohmann::json& v, model::JobSpec& spec);

std::string task_name(const model::TaskRef& task);
std::optional<model::TaskRef> parse_task_name(const std::string& name);
bool valid_job_id(const std::string& id);

}  // namespace rooksill::wire
