/**
 * A server that answers before it has read the request, and the ways in which it then ends the
 * connection.
 */
#pragma once

#include "loopsupport.h"

#include "almondridge/base/enumnames.h"

#include <array>

namespace almondridge::async::testing {

enum class EarlyEnding {
    Reset,           ///< Resets the connection.
    CloseUnread,     ///< Closes it with unread bytes, for which the kernel sends a reset.
    EndThenReset,    ///< Ends its own side in order, then resets the connection.
    EndThenSilence,  ///< Ends its own side in order, and never reads the request.
    ReadThenEnd,     ///< Reads the whole request, then closes in order.
    ReadPartThenEnd, ///< Reads what has arrived, then closes in order.
};

inline constexpr std::array<EnumName<EarlyEnding>, 6> EarlyEndingNames {{
    {EarlyEnding::Reset, "reset"},
    {EarlyEnding::CloseUnread, "close-unread"},
    {EarlyEnding::EndThenReset, "end-then-reset"},
    {EarlyEnding::EndThenSilence, "end-then-silence"},
    {EarlyEnding::ReadThenEnd, "read-then-end"},
    {EarlyEnding::ReadPartThenEnd, "read-part-then-end"},
}};

class EarlyAnswerServer
{
public:
    /** Sends the answer to each connection as soon as it is accepted. */
    EarlyAnswerServer(EventLoop &loop, std::string answer)
        : answer_(std::move(answer))
        , acceptor_(loop.context(), {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    {
        accept();
    }

    net::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    int connections() const { return connections_; }

    /** Ends the last connection; requestBytes: what ReadThenEnd reads. */
    void end(EarlyEnding ending, std::size_t requestBytes)
    {
        boost::system::error_code ignored;
        switch (ending) {
        case EarlyEnding::EndThenReset:
            socket_.shutdown(Connection::Socket::shutdown_send, ignored);
            [[fallthrough]];
        case EarlyEnding::Reset:
            socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket_.close(ignored);
            break;
        case EarlyEnding::CloseUnread:
            socket_.close(ignored);
            break;
        case EarlyEnding::EndThenSilence:
            socket_.shutdown(Connection::Socket::shutdown_send, ignored);
            break;
        case EarlyEnding::ReadThenEnd:
            readThenClose(requestBytes);
            break;
        case EarlyEnding::ReadPartThenEnd:
            readAvailable();
            socket_.close(ignored);
            break;
        }
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code &failure, Connection::Socket socket) {
                if (failure) {
                    return;
                }
                ++connections_;
                socket_ = std::move(socket);
                socket_.non_blocking(true);
                boost::asio::write(socket_, boost::asio::buffer(answer_));
                accept();
            });
    }

    std::size_t readAvailable()
    {
        std::array<char, 65'536> bytes {};
        std::size_t total = 0;
        boost::system::error_code failure;
        while (!failure) {
            total += socket_.read_some(boost::asio::buffer(bytes), failure);
        }
        return total;
    }

    void readThenClose(std::size_t bytes)
    {
        const std::size_t got = readAvailable();
        if (got >= bytes) {
            socket_.close();
            return;
        }
        socket_.async_wait(Connection::Socket::wait_read,
                           [this, bytes, got](const boost::system::error_code &failure) {
                               if (!failure) {
                                   readThenClose(bytes - got);
                               }
                           });
    }

    std::string answer_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Connection::Socket socket_ {acceptor_.get_executor()};
    int connections_ = 0;
};

} // namespace almondridge::async::testing
