// Strict incremental parser for HTTP/1.1 messages with size limits. Ambiguous or unusual input is
// rejected, because two parties that interpret a message differently allow request smuggling.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rooksill::net {

// A parsed request or response. Headers are not kept.
struct HttpMessage {
  std::string method;  // requests only
  std::string target;  // requests only: path and query
  int status = 0;      // responses only
  std::string body;
  bool closes_connection = false;  // the sender closes the connection after this message
};

// Parses a sequence of messages of one kind.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  // kNeedMore: the message is incomplete; kDone: it is complete; kError: the input is invalid.
  enum class State { kNeedMore, kDone, kError };

  // Creates a parser with size limits. The head is everything before the body, including the start
  // line.
  HttpParser(Kind kind, size_t max_head_bytes, size_t max_body_bytes)
      : kind_(kind), max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes) {}

  // Parses `data` up to the end of a message at most and sets `consumed` to the number of bytes
  // read. Returns kDone when a message is complete; extract_message() then returns it. After kError
  // the parser cannot be used any further.
  State feed(std::string_view data, size_t& consumed);
  // Returns the complete message and resets the parser for the next one.
  HttpMessage extract_message();
  // Returns the HTTP status to send in reply to a request that could not be parsed.
  int error_status() const { return error_status_; }
  // Returns whether no byte of a message has been read yet.
  bool is_idle() const { return phase_ == Phase::kHead && head_.empty(); }

 private:
  enum class Phase { kHead, kBody, kChunkSize, kChunkData, kChunkEnd, kTrailer, kDone, kError };

  void fail(int status);
  void parse_character(char character);
  // Appends data to the body as far as it belongs to the body or chunk; returns the bytes consumed.
  size_t append_body(std::string_view data);
  void parse_head_character(char character);
  void parse_chunk_size_character(char character);
  void parse_chunk_end_character(char character);
  void parse_trailer_character(char character);
  bool parse_head();
  bool parse_start_line(std::string_view line);
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_version(std::string_view version);
  bool parse_header(std::string_view line);
  // Appends to the current line (chunk size, chunk end or trailer); returns whether it is complete.
  bool append_to_line(char character);

  Kind kind_;
  size_t max_head_bytes_, max_body_bytes_;
  Phase phase_ = Phase::kHead;
  std::string head_, line_;
  HttpMessage message_;
  size_t remaining_bytes_ = 0;  // of the body, or of the current chunk
  size_t trailer_bytes_ = 0;    // read so far
  bool is_chunked_ = false, has_content_length_ = false;
  int error_status_ = 400;  // HTTP status; valid after kError
};

}  // namespace rooksill::net
