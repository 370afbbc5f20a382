// The holder of blocks: answers its workers' reports, places tasks inside the blocks, stops them.
#pragma once

#include <deque>
#include <list>
#include <map>

#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"
#include "rooksill/state/committer.h"
#include "rooksill/worker/codec.h"

namespace rooksill::core {

using ChunkId = std::pair<std::string, uint32_t>;

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
  double last_heard = 0, activated = 0;
  double next_probe = 0, next_push = 0;
  bool probing = false, probe_failed = false;
  int failed_probes = 0;
  std::map<TaskRef, double> running_since;
  std::vector<worker::ReportedTask> tasks;
  std::set<std::pair<TaskRef, uint64_t>> seen;  // attempts that it was seen to have
  std::optional<double> notice_until;
  std::list<std::pair<std::string, double>> images;  // most recently used first
  double image_gb = 0;
  int failures = 0;
  std::set<std::string> failed_jobs;
  bool bad = false;
  double avoid_until = 0;
};

class Holder {
 public:
  Holder(Context& ctx, Replica& replica, state::Committer& committer);

  // A worker's report; answers it.
  void report(uint64_t request, const std::string& body);
  void routes(const net::Routes& r);
  void route_here(const ChunkId& chunk) { routed_.insert(chunk); }
  void note_address(const std::string& machine, const std::string& address);

  void tick();   // activates leases, probes
  void flush();  // changes of state, reports' results first
  void place();
  void push();  // commands that must be quick

  std::vector<net::MachineView> views();
  bool holds(int block) const;
  bool suspects_itself() const { return suspects_itself_; }
  std::vector<int> blocks() const;
  bool backing_off(const std::string& job) const;
  std::optional<net::Sighting> take_sighting();

 private:
  struct Change {
    enum class Kind { kPlace, kLost, kDone } kind = Kind::kPlace;
    std::string machine;
    uint64_t attempt = 0;
    int block = 0;       // whose lease guards it
    uint64_t basis = 0;  // of a placement: what it was decided on
  };
  struct ChunkWork {
    std::map<uint32_t, Change> waiting, sent;
    bool busy = false;
  };
  struct JobTrouble {
    std::set<std::string> machines;
    int failures = 0;
    double retry_at = 0;
  };

  void activate(int block);
  void take_report(Worker& w, const worker::Report& r);
  void reconcile(Worker& w, std::vector<worker::Order>* orders);
  bool trusted(const Worker& w) const;
  bool ends_in_time(const Worker& w, const worker::ReportedTask& t, const Job& job) const;
  void lost(Worker& w, const worker::ReportedTask& t);
  void note_failure(Worker& w, const std::string& job, uint64_t attempt);
  void note_images(Worker& w);
  void change(const TaskRef& task, Change c);
  bool changing(const TaskRef& task) const;
  uint64_t basis(const Job& job, int block) const;
  bool apply_change(const Job& job, TaskState& state, const Change& c) const;
  void flush_group();
  void settle(const std::vector<ChunkId>& chunks, const state::TxnResult& result,
              std::vector<std::string> keys);
  void drop_sent(const std::vector<ChunkId>& chunks);
  void probe(Worker& w);
  void send(Worker& w, std::vector<worker::Order> orders, bool even_if_empty);

  struct Room {
    Worker* worker = nullptr;
    const Machine* machine = nullptr;
    const MachineType* type = nullptr;
    double cpus = 0, gpus = 0, memory = 0;
    uint32_t tasks = 0;
    std::set<std::string> fetching;  // images on their way there
    bool open = false;               // takes new tasks
  };
  std::map<std::string, Room> rooms();
  bool allowed(const JobSpec& s, const Room& r) const;
  static bool fits(const JobSpec& s, const Room& r);
  Room* choose(const Job& job, std::map<std::string, Room>& rooms,
               const std::map<std::string, uint32_t>& zones, const std::string& only_zone);
  bool within_limit(const JobSpec& s, int block);
  bool preempt(const Job& job, std::map<std::string, Room>& rooms,
               const std::map<std::string, uint32_t>& zones, const std::string& only_zone,
               bool only_cached);
  bool fits_whole(const Job& job, std::map<std::string, Room> rooms,
                  std::map<std::string, uint32_t> zones, const std::string& only_zone);
  double reserve(const JobSpec& s, const Room& r) const;
  double due_time(const Job& job) const;

  Context& ctx_;
  Replica& replica_;
  state::Committer& committer_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::string> addresses_;
  std::set<int> held_;
  std::map<ChunkId, ChunkWork> work_;
  std::set<ChunkId> routed_;
  uint64_t routed_term_ = 0;
  std::set<std::string> drain_;
  std::map<std::string, JobTrouble> troubles_;
  std::map<TaskRef, uint64_t> evicted_;  // attempt being stopped to make room or to drain
  std::map<std::pair<int, std::string>, std::pair<double, double>> team_use_;
  std::optional<net::Sighting> sighting_;
  int in_flight_ = 0;
  double backoff_until_ = 0;
  bool suspects_itself_ = false;
};

}  // namespace rooksill::core
