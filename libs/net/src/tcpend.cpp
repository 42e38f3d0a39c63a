#include "almondridge/net/tcpend.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace almondridge::net {

TcpEnd tcpEndOf(int socket) noexcept
{
    tcp_info info {};
    socklen_t size = sizeof info;
    const bool isKnown = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    if (isKnown && info.tcpi_state == TCP_CLOSE) {
        return TcpEnd::Reset;
    }
    int unreceived = 0;
    const bool isCounted = ::ioctl(socket, SIOCOUTQ, &unreceived) == 0;
    return isCounted && unreceived > 0 ? TcpEnd::Unreceived : TcpEnd::InOrder;
}

} // namespace almondridge::net
