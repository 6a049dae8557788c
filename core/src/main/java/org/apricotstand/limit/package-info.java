/** Limits on load: admission of requests, retry budgets and backoff between attempts. */
package org.apricotstand.limit;
