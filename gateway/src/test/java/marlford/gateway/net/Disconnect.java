package marlford.gateway.net;

import java.io.IOException;
import marlford.gateway.net.Sockets.Client;

/** How a client disconnects. */
enum Disconnect {
    CLOSE, RESET, END_OF_OUTPUT;

    void apply(Client c) throws IOException {
        switch (this) {
            case CLOSE -> c.close();
            case RESET -> {
                c.socket.setSoLinger(true, 0);
                c.close();
            }
            case END_OF_OUTPUT -> c.socket.shutdownOutput();
        }
    }
}
