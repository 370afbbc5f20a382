// The leader's view of what is left of each team's limit, and which shares should move.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "rooksill/core/context.h"
#include "rooksill/core/replica.h"
#include "rooksill/net/peer_codec.h"

namespace rooksill::core {

// What one chunk of work could use in each block: tasks for which machines have room there, and of
// these as many as the block's share of the team's limit still takes.
struct BlockFit {
  double room = 0, within_share = 0;
};

// Where a block has room on its machines and nothing left of a team's limit, while another has
// some left that it cannot use, the leader asks the other's holder for a transfer. The holder
// decides how much it can give (LimitTransfers); nothing here is relied on for the limit.
class LimitBalancer {
 public:
  LimitBalancer(Context& ctx, const Replica& replica) : ctx_(ctx), replica_(replica) {}

  // Forgets what was taken since, and starts again from what holders say.
  void refresh(const std::vector<net::TeamUse>& used);
  // What is left of a team's limit in a block; infinite without a limit.
  LimitShare left(const std::string& team, int block);
  // Tasks that what is left there still takes.
  double tasks_left(const JobSpec& spec, int block);
  // Work was routed to the block, and will use that much of what is left.
  void take(const JobSpec& spec, int block, double tasks);
  // Notes that fewer of the wanted tasks were within any block's share than machines have room for.
  void note(const JobSpec& spec, double wanted, const std::vector<BlockFit>& fits);
  // Transfers to ask for now; `can_give` says whose holder can be asked.
  std::vector<net::LimitTransfer> decide(const std::vector<bool>& can_give);

 private:
  struct Shortage {
    int to = 0;
    LimitShare missing;
    std::vector<LimitShare> spare;  // by block: left, and of no use to this work there
  };
  Context& ctx_;
  const Replica& replica_;
  std::map<std::pair<std::string, int>, LimitShare> left_;
  std::map<std::pair<std::string, int>, LimitShare> used_;
  std::map<std::string, Shortage> shortages_;  // by team; the first one noted
  std::map<std::string, double> next_;         // by team: when the next transfer may be asked for
};

}  // namespace rooksill::core
