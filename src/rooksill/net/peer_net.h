// Framed messages between controllers: four bytes of length, then msgpack. One connection each way.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "rooksill/net/loop.h"
#include "rooksill/net/socket.h"
#include "rooksill/settings/settings.h"

namespace rooksill::net {

class PeerNet {
 public:
  using OnMessage = std::function<void(std::string bytes)>;
  using OnLost = std::function<void(std::string label)>;

  PeerNet(struct ev_loop* loop, const PlatformSettings& settings, OnMessage on_message,
          OnLost on_lost);
  ~PeerNet();
  void send(const std::string& label, const std::string& bytes);

 private:
  struct OutgoingConnection;
  struct IncomingConnection;
  void connect(OutgoingConnection& connection);
  void on_outgoing_io(OutgoingConnection& connection, int events);
  void write(OutgoingConnection& connection);
  void close(OutgoingConnection& connection);
  void accept_connections();
  void on_incoming_io(uint64_t id);

  struct ev_loop* loop_;
  OnMessage on_message_;
  OnLost on_lost_;
  Socket listener_;
  std::unique_ptr<IoWatcher> accept_watcher_;
  std::map<std::string, std::unique_ptr<OutgoingConnection>> outgoing_;
  std::map<uint64_t, std::unique_ptr<IncomingConnection>> incoming_;
  uint64_t next_incoming_id_ = 1;
  std::unique_ptr<Timer> reconnect_timer_;
};

}  // namespace rooksill::net
