// The holder of blocks: answers its workers' reports, places tasks inside the blocks, stops them.
#pragma once

#include <array>
#include <list>
#include <map>
#include <unordered_map>

#include "rooksill/core/cancellations.h"
#include "rooksill/core/context.h"
#include "rooksill/core/limit_transfers.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"
#include "rooksill/placement/gang_plan.h"
#include "rooksill/state/committer.h"
#include "rooksill/worker/codec.h"

namespace rooksill::core {

using ChunkId = std::pair<std::string, uint32_t>;

inline constexpr double kProbeReports = 1.15;  // silence, in reports, after which one is asked

// What is free on a machine, as its holder sees it. Worked out anew when something there changed.
struct Room {
  const MachineType* type = nullptr;
  int block = 0;
  bool spot = false;
  std::string zone;
  double cpus = 0, gpus = 0, memory = 0;
  uint32_t tasks = 0;
  std::vector<int> fetching;  // images on their way there
  // Cores of tasks by priority, and what those being stopped will leave.
  std::array<double, 4> cpus_by_priority{};
  double leaving_cpus = 0, leaving_gpus = 0, leaving_memory = 0;
  // What each team has here, so that it can be taken back when the room is worked out anew.
  std::map<std::string, std::pair<double, double>> teams;
};

// What a holder knows of a machine in one of its blocks.
struct Worker {
  std::string name, address;
  int block = 0;
  uint64_t token = 0;  // sent with every answer and command; only rises
  // Highest token that was sent with a direct command nobody acknowledged. Such a command may
  // still run until the worker has seen a higher one.
  uint64_t dirty = 0;
  uint64_t sending = 0;  // token of the direct command under way, 0: none
  uint64_t session = 0, seq = 0, reported_token = 0;
  bool reported = false;
  double last_heard = 0;   // in whatever way
  double heard_since = 0;  // when it was heard again after a silence
  double lease_ends = 0;   // at the latest, if no report of its own is answered
  double last_report = 0;  // that it brought itself: only an answer to one renews its lease
  double next_probe = 0, next_push = 0;
  bool probing = false, probe_failed = false;
  int failed_probes = 0;
  std::map<TaskRef, double> running_since;
  std::vector<worker::ReportedTask> tasks;
  std::optional<double> notice_until;
  std::list<std::pair<int, double>> images;  // by number, most recently used first
  double image_gb = 0;
  int failures = 0;
  std::set<std::string> failed_jobs;
  bool bad = false;
  double avoid_until = 0;
  std::set<TaskRef> placing;  // decided and not yet in the state
  Room room;
  // attention: to be looked at; settled: its last answer said all there was to say.
  bool room_stale = true, attention = false, settled = false, view_stale = true, silent = false;
  net::MachineView told;  // to the leader, last
  bool has_image(int image) const;
};

class Holder {
 public:
  Holder(Context& ctx, Replica& replica, state::Client& client, state::Committer& committer,
         const Cancellations& cancellations);

  // A worker's report; answers it.
  void report(uint64_t request, const std::string& body);
  void routes(const net::Routes& r);
  void route_here(const ChunkId& chunk) { routed_.insert(chunk); }
  void deal_alone();  // while nobody routes: what waits, by a rule that all controllers share
  void note_address(const std::string& machine, const std::string& address);

  void tick();  // takes leases up and gives them up
  void scan();  // what only time changes: probes, silence
  void look();  // at what the batch changed
  // Passes on shares of limits as the leader asked, as far as they are not in use.
  void transfer_limits();
  void place();  // at most once in a while, if there is reason to
  void flush();  // changes of state, reports' results first
  void push();   // commands that must be quick
  void want_place() { place_wanted_ = true; }

  // What changed since the last call, and some others in turn; everything if `all`.
  std::vector<net::MachineView> take_views(bool all);
  std::vector<net::Address> take_addresses();
  // Of teams with a limit, in the blocks held.
  std::vector<net::TeamUse> team_use();
  size_t queued() const { return queue_.size(); }
  std::string summary();  // of the machines held, for the log
  bool holds(int block) const;
  bool suspects_itself() const { return suspects_itself_; }
  std::vector<std::string> silent_machines() const;
  std::vector<std::string> unreachable_zones() const;  // cut off, as far as this node can see
  bool backing_off(const std::string& job) const;
  std::optional<net::Sighting> take_sighting();

 private:
  struct Change {
    enum class Kind { kPlace, kLost, kDone } kind = Kind::kPlace;
    std::string machine;
    uint64_t attempt = 0;
    int block = 0;       // whose lease guards it
    uint64_t basis = 0;  // of a placement: what it was decided on
    uint64_t lease = 0;  // revision of the block's lease that it was decided under
    // Of a placement: the machine that reported the attempt before gone, and the lease for that.
    std::string from;
    int from_block = 0;
    uint64_t from_lease = 0;
  };
  // In which order changes go out. Results that complete a job or would be lost first, then
  // decisions and losses by priority; results that complete nothing wait for writes to spare.
  using Rank = std::pair<int, double>;
  using Changes = std::map<uint32_t, Change>;  // by the task's place in its chunk
  struct ChunkWork {
    Changes waiting, sent;
    uint64_t sent_on = 0;  // revision of the chunk that `sent` goes with
    bool busy = false;
    std::optional<Rank> queued;
    double since = 0;
  };
  // A chunk as it is to be written, with the revisions that this rests on.
  struct ChunkWrite {
    std::vector<TaskState> tasks;
    nlohmann::json value;  // null: the chunk is deleted with its job's end
    size_t bytes = 0;      // of the value
    std::map<std::string, uint64_t> guards;
    bool last = false;
  };
  // A transaction in the making.
  struct Group {
    std::map<std::string, uint64_t> guards;
    std::vector<state::Write> writes;
    std::vector<ChunkId> chunks;
    std::vector<std::string> keys;  // to be read back when the outcome is unknown
    size_t bytes = 0;
    void add(state::Write write, size_t value_bytes);
  };
  enum class Added { kChunk, kNothing, kFull };
  struct ZoneCheck {
    double asked = -1e9;
    int sent = 0, answered = 0;
    bool judged = true, dark = false;
  };
  struct JobTrouble {
    std::set<std::string> machines;
    int failures = 0;
    double retry_at = 0;
  };
  struct Candidate {
    const Job* job;
    uint32_t chunk;
    double due;
  };
  // What a pass of placement found no room for: nothing larger needs to be looked for.
  struct Unmet {
    double cpus = 0, gpus = 0, memory = 0;
  };

  void activate(int block);
  void drop_workers(int block);
  void take_report(Worker& w, const worker::Report& r);
  void reconcile(Worker& w, std::vector<worker::Order>* orders);
  bool trusted(const Worker& w) const;
  bool ends_in_time(const Worker& w, const worker::ReportedTask& t, const Job& job) const;
  void lost(Worker& w, const worker::ReportedTask& t);
  void note_failure(Worker& w, const std::string& job, uint64_t attempt);
  void note_images(Worker& w);
  void attend(Worker& w);

  void change(const TaskRef& task, Change c);
  const Change* change_of(const TaskRef& task) const;
  static const Change* change_in(const ChunkWork& work, uint32_t index);
  bool changing(const TaskRef& task) const { return change_of(task) != nullptr; }
  bool under(int block, uint64_t lease) const;
  void resolve(const std::vector<ChunkId>& chunks);
  void queue(const ChunkId& id, ChunkWork& work);
  void unqueue(const ChunkId& id, ChunkWork& work);
  bool more_to_come(const Job& job, uint32_t chunk, const ChunkWork& work) const;
  static int decision_rank(const JobSpec& s);
  bool may_decide(const Candidate& c) const;
  void drop_change(const ChunkId& id, uint32_t index, const Change& c);
  uint64_t basis(const Job& job, int block) const;
  std::optional<worker::Order> order_for_unreported(Worker& w, const TaskRef& ref, const Job& job,
                                                    bool sure);
  std::optional<worker::Order> order_for(Worker& w, const worker::ReportedTask& t, const Job& job);
  bool apply_change(const Job& job, const Chunk& chunk, TaskState& state, const Change& c) const;
  bool apply_waiting(const Job& job, const ChunkId& id, ChunkWork& work, ChunkWrite& out);
  Changes::iterator drop_waiting(const Job& job, const ChunkId& id, ChunkWork& work,
                                 Changes::iterator at, std::vector<TaskState>& tasks);
  bool fits_value(const Job& job, const ChunkId& id, ChunkWork& work, ChunkWrite& out);
  void guard_changes(const Job& job, const ChunkId& id, const ChunkWork& work,
                     ChunkWrite& out) const;
  Added add_to_group(const ChunkId& id, Group& group);
  void flush_group();
  void settle(const std::vector<ChunkId>& chunks, const state::TxnResult& result,
              std::vector<std::string> keys);
  void drop_sent(const std::vector<ChunkId>& chunks);
  void send_again(const std::vector<ChunkId>& chunks);
  double quiet_for(const Worker& w) const;
  void probe(Worker& w);
  void suspect(size_t silent, size_t up);
  bool entitled() const;
  void check_zone(const std::string& zone);
  void judge_zones();
  void send(Worker& w, std::vector<worker::Order> orders, bool even_if_empty);

  net::MachineView view(Worker& w);
  const Room& room_of(Worker& w);
  void work_out_room(Worker& w);
  void forget_room(Worker& w);
  bool open(const Worker& w) const;
  std::vector<Worker*> open_workers();
  bool allowed(const JobSpec& s, const Worker& w) const;
  static bool fits(const JobSpec& s, double cpus, double gpus, double memory);
  uint32_t slots(const JobSpec& s, const Worker& w);
  double score(const Job& job, const Worker& w) const;
  const LimitShare& team_share(const std::string& team, int block);
  bool within_limit(const JobSpec& s, int block);
  bool beyond_share(const std::string& team, Worker& w);
  void place_chunk(const Candidate& c, const std::vector<Worker*>& workers);
  uint32_t make_room(const Job& job, uint32_t count, const std::vector<Worker*>& workers,
                     const std::map<std::string, uint32_t>& zones, const std::string& only_zone,
                     bool only_cached);
  // Gang jobs (placement/gang_placer.cc).
  bool gang_broken(const Job& job) const;
  void stop_gang(const Job& job);
  std::optional<uint64_t> next_gang_attempt(const Job& job) const;
  std::vector<placement::GangOption> gang_options(const Job& job,
                                                  const std::vector<Worker*>& workers);
  std::map<int, double> gang_tasks_left(const JobSpec& s);
  void place_gang(const Candidate& c, const std::vector<Worker*>& workers);
  void make_room_for_gang(const Job& job, const std::vector<Worker*>& workers);
  void keep_gang_whole(const Job& job, const ChunkId& id, ChunkWork& work,
                       std::vector<TaskState>& tasks);
  double reserve(const JobSpec& s, const Room& r) const;
  double due_time(const Job& job) const;

  Context& ctx_;
  Replica& replica_;
  state::Client& client_;
  state::Committer& committer_;
  const Cancellations& cancellations_;
  std::unordered_map<std::string, Worker> workers_;
  std::unordered_map<std::string, std::string> addresses_;
  std::vector<net::Address> fresh_addresses_;
  std::map<int, uint64_t> held_;  // blocks, with the revision of their lease
  std::map<ChunkId, ChunkWork> work_;
  std::set<std::pair<Rank, ChunkId>> queue_;
  std::set<ChunkId> routed_;
  uint64_t routed_term_ = 0;
  std::set<std::string> drain_;
  std::map<std::string, ZoneCheck> zone_checks_;
  std::unordered_map<std::string, JobTrouble> troubles_;
  std::map<TaskRef, uint64_t> evicted_;  // attempt being stopped to make room or to drain
  std::map<std::pair<int, std::string>, std::pair<double, double>> team_use_;
  std::map<std::pair<int, std::string>, LimitShare> shares_;  // worked out anew with each pass
  LimitTransfers transfers_;
  std::vector<net::LimitTransfer> asked_transfers_;
  std::vector<std::string> attention_;
  std::optional<net::Sighting> sighting_;
  std::map<int, Unmet> unmet_;
  std::unordered_map<const Worker*, Unmet> promised_;   // of what is being made free, in a pass
  std::unordered_map<const Worker*, Unmet> set_aside_;  // of what is free, for gangs, in a pass
  double cheapest_ = 1;
  int evictions_ = 0;
  double stops_left_ = 0, stops_at_ = 0;  // that arrays may make room with, and when that was
  int in_flight_ = 0;
  int sends_ = 0, probes_ = 0;  // commands and probes under way
  double backoff_until_ = 0, next_place_ = 0;
  double next_deal_ = 0;
  double last_answer_ = -1e9, next_test_ = 0;  // of any machine; when some are asked again
  size_t turn_ = 0;                            // of the views and addresses that are told again
  bool all_unreachable_ = false;               // no zone answered this node when it asked
  bool suspects_itself_ = false, place_wanted_ = false;
};

}  // namespace rooksill::core
