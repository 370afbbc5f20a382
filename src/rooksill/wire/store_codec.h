// The service's own records in the state service.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "rooksill/core/model.h"

namespace rooksill::core {

// Keys: everything lies under one prefix, so that one watch shows all of it.
inline const std::string kPrefix = "rk/";
std::string job_key(const std::string& id);
std::string chunk_key(const std::string& id, uint32_t chunk);
std::string lease_key(int block);
std::string machines_key(int block, int page);
std::string type_key(const std::string& name);
std::string life_sign_key(const std::string& label);
std::string limit_key(const std::string& team);
std::string version_key(const std::string& label);
// Whether a key's value is a page of a block's list of machines.
bool is_machines_key(const std::string& key);
// Whether a team's name may be part of a key, and of the path that reads the key.
bool valid_limit_key(const std::string& team);
inline const std::string kLeaderKey = "rk/lead";
inline const std::string kTermKey = "rk/term";
inline const std::string kUpgradeKey = "rk/upgrade";

nlohmann::json encode_job(const Job& job);
bool decode_job(const nlohmann::json& v, Job& job);
nlohmann::json encode_chunk(const std::vector<TaskState>& tasks);
bool decode_chunk(const nlohmann::json& v, size_t count, std::vector<TaskState>& tasks);
nlohmann::json encode_lease(const BlockLease& lease);
bool decode_lease(const nlohmann::json& v, BlockLease& lease);
nlohmann::json encode_machines(const std::map<std::string, Machine>& machines);
bool decode_machines(const nlohmann::json& v, std::map<std::string, Machine>& machines);
nlohmann::json encode_life_sign(const LifeSign& sign);
bool decode_life_sign(const nlohmann::json& v, LifeSign& sign);
nlohmann::json encode_division(const std::vector<LimitShare>& shares);
bool decode_division(const nlohmann::json& v, size_t blocks, std::vector<LimitShare>& shares);
nlohmann::json encode_version(const VersionRecord& record);
bool decode_version(const nlohmann::json& v, VersionRecord& record);
nlohmann::json encode_upgrade(const UpgradeRecord& record);
bool decode_upgrade(const nlohmann::json& v, UpgradeRecord& record);
nlohmann::json encode_type(const MachineType& type);
bool decode_type(const nlohmann::json& v, MachineType& type);

nlohmann::json encode_spec(const JobSpec& spec);
bool decode_spec(const nlohmann::json& v, JobSpec& spec);

std::string task_name(const TaskRef& task);
std::optional<TaskRef> parse_task_name(const std::string& name);
bool valid_job_id(const std::string& id);

}  // namespace rooksill::core
