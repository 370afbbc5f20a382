// Message transport between controllers. A frame is a length in bytes (four bytes, big-endian)
// followed by a msgpack message. Each controller of a pair opens one connection, on which it only
// sends.
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

// Keeps a connection to every other controller, reconnecting as needed, and receives the messages
// of those that connect to this one. Delivery is not guaranteed.
class PeerNet {
 public:
  // Receives the content of each incoming frame.
  using MessageHandler = std::function<void(std::string bytes)>;
  // Is called with a controller's label when the established connection to it ends.
  using DisconnectHandler = std::function<void(std::string label)>;

  // Listens on settings.peer_address and starts connecting to settings.peers. `loop` must outlive
  // the object. Throws std::runtime_error if it cannot listen.
  PeerNet(struct ev_loop* loop, const PlatformSettings& settings, MessageHandler on_message,
          DisconnectHandler on_disconnect);
  ~PeerNet();
  // Sends a message to the controller `label`. Drops it if there is no connection or it exceeds the
  // maximum frame size; closes the connection if too much unsent data is queued.
  void send(const std::string& label, const std::string& bytes);

 private:
  struct OutgoingConnection;
  struct IncomingConnection;
  // Starts a connection attempt.
  void connect(OutgoingConnection& connection);
  void on_outgoing_io(OutgoingConnection& connection, int events);
  void write(OutgoingConnection& connection);
  // Closes the connection, dropping unsent messages; the reconnect timer opens it again.
  void close(OutgoingConnection& connection);
  void accept_connections();
  void on_incoming_io(uint64_t id);

  struct ev_loop* loop_;
  MessageHandler on_message_;
  DisconnectHandler on_disconnect_;
  Socket listener_;
  std::unique_ptr<IoWatcher> accept_watcher_;
  std::map<std::string, std::unique_ptr<OutgoingConnection>> outgoing_;
  std::map<uint64_t, std::unique_ptr<IncomingConnection>> incoming_;
  uint64_t next_incoming_id_ = 1;
  std::unique_ptr<Timer> reconnect_timer_;
};

}  // namespace rooksill::net
